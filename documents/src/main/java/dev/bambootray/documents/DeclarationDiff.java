package dev.bambootray.documents;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.documents.json.Names;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Compares two declarations by meaning: order, comments and compact forms make no difference. */
public final class DeclarationDiff {
  private static final Map<String, String> ITEM_NAMES =
      Map.of(
          "regions", "region",
          "services", "service",
          "workers", "worker",
          "workspaces", "workspace",
          "templates", "template");

  private DeclarationDiff() {}

  /** What happened to an item. */
  public enum Kind {
    /** Only the second declaration has it. */
    ADDED("+"),
    /** Only the first declaration has it. */
    REMOVED("-"),
    /** Both have it with different content. */
    CHANGED("~");

    private final String mark;

    Kind(String mark) {
      this.mark = mark;
    }
  }

  /**
   * A changed item.
   *
   * @param kind what happened to it
   * @param item its kind and identifier, for example {@code worker w1}
   * @param details for a changed item each changed field with its old and new value
   */
  public record Change(Kind kind, String item, List<String> details) {

    /** Copies the details. */
    public Change {
      details = List.copyOf(details);
    }

    /** Returns the change on one line. */
    @Override
    public String toString() {
      String line = kind.mark + " " + item;
      return details.isEmpty() ? line : line + ": " + String.join(", ", details);
    }
  }

  /** Returns the changed items, section by section and by identifier. */
  public static List<Change> between(Declaration before, Declaration after) {
    ObjectNode left = DeclarationJson.tree(before);
    ObjectNode right = DeclarationJson.tree(after);
    List<Change> changes = new ArrayList<>();
    left.fieldNames()
        .forEachRemaining(
            section -> {
              String name = ITEM_NAMES.get(section);
              if (name == null) {
                addChanged(section, left.get(section), right.get(section), changes);
              } else {
                compareItems(name, left.get(section), right.get(section), changes);
              }
            });
    return changes;
  }

  private static void compareItems(
      String name, JsonNode left, JsonNode right, List<Change> changes) {
    Map<String, JsonNode> before = byId(left);
    Map<String, JsonNode> after = byId(right);
    TreeSet<String> ids = new TreeSet<>(before.keySet());
    ids.addAll(after.keySet());
    for (String id : ids) {
      JsonNode old = before.get(id);
      JsonNode now = after.get(id);
      String item = name + " " + id;
      if (old == null) {
        changes.add(new Change(Kind.ADDED, item, List.of()));
      } else if (now == null) {
        changes.add(new Change(Kind.REMOVED, item, List.of()));
      } else {
        addChanged(item, old, now, changes);
      }
    }
  }

  private static Map<String, JsonNode> byId(JsonNode items) {
    Map<String, JsonNode> result = new TreeMap<>();
    items.forEach(item -> result.put(item.get("id").textValue(), item));
    return result;
  }

  private static void addChanged(String item, JsonNode old, JsonNode now, List<Change> changes) {
    List<String> details = new ArrayList<>();
    compareFields("", old, now, details);
    if (!details.isEmpty()) {
      changes.add(new Change(Kind.CHANGED, item, details));
    }
  }

  private static void compareFields(String path, JsonNode old, JsonNode now, List<String> details) {
    if (old.equals(now)) {
      return;
    }
    if (old.isArray() && now.isArray() && old.size() == now.size() && hasObjects(old)) {
      for (int i = 0; i < old.size(); i++) {
        compareFields(path + "[" + i + "]", old.get(i), now.get(i), details);
      }
      return;
    }
    if (!old.isObject() || !now.isObject()) {
      details.add(path + " " + shown(old) + " -> " + shown(now));
      return;
    }
    TreeSet<String> names = new TreeSet<>();
    old.fieldNames().forEachRemaining(names::add);
    now.fieldNames().forEachRemaining(names::add);
    for (String name : names) {
      compareFields(
          path.isEmpty() ? name : path + "." + name, old.path(name), now.path(name), details);
    }
  }

  private static boolean hasObjects(JsonNode array) {
    return !array.isEmpty() && array.get(0).isObject();
  }

  private static String shown(JsonNode value) {
    return value.isMissingNode() ? "none" : Names.abbreviate(value.toString());
  }
}
