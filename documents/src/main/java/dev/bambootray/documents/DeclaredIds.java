package dev.bambootray.documents;

import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.JsonValue.ArrayValue;
import dev.bambootray.documents.json.JsonValue.ObjectValue;
import dev.bambootray.documents.json.JsonValue.TextValue;
import dev.bambootray.documents.json.Names;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Place;
import dev.bambootray.documents.json.Problems;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The identifiers that a document declares, section by section.
 *
 * <p>They are collected before the sections are read, so that a reference to an item with an error
 * is not reported as dangling.
 */
final class DeclaredIds {
  private static final List<String> SECTIONS =
      List.of("regions", "services", "workers", "racks", "workspaces", "templates");

  private final Map<String, Set<String>> bySection;
  private final Problems problems;

  private DeclaredIds(Map<String, Set<String>> bySection, Problems problems) {
    this.bySection = bySection;
    this.problems = problems;
  }

  /** Collects the identifiers and reports those that are given twice in a section. */
  static DeclaredIds collect(JsonValue root, Problems problems) {
    Map<String, Set<String>> bySection = new HashMap<>();
    ObjectValue members =
        root instanceof ObjectValue object ? object : new ObjectValue(root.place(), Map.of());
    for (String section : SECTIONS) {
      Map<String, Place> places = new HashMap<>();
      if (members.get(section) instanceof ArrayValue array) {
        collect(section, array, places, problems);
      }
      bySection.put(section, Set.copyOf(places.keySet()));
    }
    bySection.put("failureDomains", failureDomains(members));
    return new DeclaredIds(bySection, problems);
  }

  private static void collect(
      String section, ArrayValue array, Map<String, Place> places, Problems problems) {
    for (int i = 0; i < array.items().size(); i++) {
      if (array.items().get(i) instanceof ObjectValue item
          && item.get("id") instanceof TextValue text) {
        Place first = places.putIfAbsent(text.text(), text.place());
        if (first != null) {
          problems.add(
              text.place(),
              section + "[" + i + "].id",
              "duplicate identifier " + text.describe(),
              "an identifier not used on line " + first.line());
        }
      }
    }
  }

  private static Set<String> failureDomains(ObjectValue root) {
    Set<String> result = new HashSet<>();
    if (!(root.get("regions") instanceof ArrayValue regions)) {
      return result;
    }
    for (JsonValue region : regions.items()) {
      if (region instanceof ObjectValue item
          && item.get("failureDomains") instanceof ArrayValue domains) {
        domains.items().stream()
            .filter(TextValue.class::isInstance)
            .forEach(value -> result.add(((TextValue) value).text()));
      }
    }
    return result;
  }

  /** Reads a required reference to an item of a section; empty text after an error. */
  String reference(ObjectCursor object, String key, String section) {
    String id = object.identifier(key);
    if (!id.isEmpty()) {
      check(id, section, object.placeOf(key), object.pathOf(key));
    }
    return id;
  }

  /** Reads a list of references to items of a section. */
  List<String> references(ObjectCursor object, String key, String section) {
    List<String> ids = object.identifiers(key);
    for (String id : ids) {
      check(id, section, object.placeOf(key), object.pathOf(key));
    }
    return ids;
  }

  /** Reports an identifier that is not declared in a section. */
  void check(String id, String section, Place place, String path) {
    Set<String> declared = bySection.getOrDefault(section, Set.of());
    if (declared.contains(id)) {
      return;
    }
    Optional<String> closest = problems.isFull() ? Optional.empty() : Names.closest(id, declared);
    String suggestion = closest.map(name -> ", for example \"" + name + "\"").orElse("");
    problems.add(
        place,
        path,
        "dangling reference \"" + Names.abbreviate(id) + "\"",
        "an identifier declared under " + section + suggestion);
  }
}
