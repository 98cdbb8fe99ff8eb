package dev.bambootray.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Rows and write tokens of the stand-in table. Thread-safe. */
final class TableState {
  private static final int MAX_TOKENS = 200_000;
  private static final int MAX_WRITES = 100;
  private static final int MAX_PAGE_CHARS = 1024 * 1024;

  private record Row(String value, long version) {}

  /** What became of a transaction: the status and the body of its reply. */
  record Outcome(int status, ObjectNode body) {}

  private final NavigableMap<String, Row> rows = new TreeMap<>();
  private final Map<String, Long> lastVersions = new HashMap<>();
  private final Map<String, Outcome> outcomes =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Outcome> eldest) {
          return size() > MAX_TOKENS;
        }
      };
  private long commits;
  private long conflicts;
  private long reads;

  synchronized Outcome commit(JsonNode transaction) {
    String token = transaction.required("token").asText();
    Outcome earlier = outcomes.get(token);
    if (earlier != null) {
      return earlier;
    }
    JsonNode writes = transaction.required("writes");
    if (writes.size() > MAX_WRITES) {
      throw new IllegalArgumentException("more than " + MAX_WRITES + " writes");
    }
    ArrayNode failed = HttpCall.JSON.createArrayNode();
    for (JsonNode write : writes) {
      String key = write.required("key").asText();
      long expected = write.required("expectedVersion").asLong();
      Row row = rows.get(key);
      if (expected >= 0 && expected != (row == null ? 0 : row.version())) {
        failed.add(rowJson(key, row));
      }
    }
    boolean applied = failed.isEmpty();
    commits += applied ? 1 : 0;
    conflicts += applied ? 0 : 1;
    ObjectNode body = HttpCall.JSON.createObjectNode();
    body.set(applied ? "versions" : "current", applied ? apply(writes) : failed);
    Outcome outcome = new Outcome(applied ? 200 : 409, body);
    outcomes.put(token, outcome);
    return outcome;
  }

  private ArrayNode apply(JsonNode writes) {
    ArrayNode versions = HttpCall.JSON.createArrayNode();
    for (JsonNode write : writes) {
      String key = write.get("key").asText();
      JsonNode value = write.path("value");
      if (value.isTextual()) {
        long version = lastVersions.merge(key, 1L, Long::sum);
        rows.put(key, new Row(value.asText(), version));
        versions.add(version);
      } else {
        rows.remove(key);
        versions.add(0);
      }
    }
    return versions;
  }

  synchronized ObjectNode readToken(String token) {
    reads++;
    ObjectNode reply = HttpCall.JSON.createObjectNode();
    Outcome outcome = outcomes.get(token);
    if (outcome == null) {
      return reply.put("outcome", "unknown");
    }
    reply.setAll(outcome.body());
    return reply.put("outcome", outcome.status() == 200 ? "committed" : "conflict");
  }

  synchronized ObjectNode readRow(String key) {
    reads++;
    return rowJson(key, rows.get(key));
  }

  synchronized ObjectNode scan(String prefix, @Nullable String afterKey, int limit) {
    reads++;
    int pageRows = Math.max(1, Math.min(limit, 1_000));
    ObjectNode reply = HttpCall.JSON.createObjectNode();
    ArrayNode page = reply.putArray("rows");
    reply.putNull("nextAfter");
    String last = null;
    int chars = 0;
    boolean begin = afterKey == null || afterKey.compareTo(prefix) < 0;
    for (var entry : rows.tailMap(begin ? prefix : afterKey, begin).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (page.size() >= pageRows || chars >= MAX_PAGE_CHARS) {
        reply.put("nextAfter", last);
        break;
      }
      page.add(rowJson(entry.getKey(), entry.getValue()));
      chars += entry.getValue().value().length();
      last = entry.getKey();
    }
    return reply;
  }

  synchronized ObjectNode counters() {
    return HttpCall.JSON
        .createObjectNode()
        .put("rows", rows.size())
        .put("commits", commits)
        .put("conflicts", conflicts)
        .put("reads", reads);
  }

  private static ObjectNode rowJson(String key, @Nullable Row row) {
    return HttpCall.JSON
        .createObjectNode()
        .put("key", key)
        .put("value", row == null ? "" : row.value())
        .put("version", row == null ? 0 : row.version());
  }
}
