import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The platform's store as PROTOCOL.md describes it, with its limits. */
final class Store {
  static final int ROW_BYTES = 65_536;
  static final int TX_BYTES = 1_000_000;
  static final int TX_ENTRIES = 100;
  private static final long TX_MS = 5;
  private static final long READ_MS = 4;

  /** Three status report intervals. */
  private static final long ENTRY_MS = 4_500;

  private static final long HISTORY_MS = 20_000;
  private static final int PAGE_ROWS = 500;
  private static final int PAGE_BYTES = 1_000_000;

  private record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int order = table.compareTo(other.table);
      order = order != 0 ? order : part.compareTo(other.part);
      return order != 0 ? order : compareBytes(key, other.key);
    }

    private static int compareBytes(String a, String b) {
      return java.util.Arrays.compareUnsigned(
          a.getBytes(StandardCharsets.UTF_8), b.getBytes(StandardCharsets.UTF_8));
    }
  }

  private record Stored(String value, long ver) {}

  private record Change(Key key, String value, long ver, long atMs) {}

  private final TreeMap<Key, Stored> rows = new TreeMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private final Map<String, Object> partLocks = new ConcurrentHashMap<>();
  private final Consumer<String> log;
  private final HttpServer server;
  private long ver;
  private long historyFrom;
  private final Map<String, JsonNode> reported = new ConcurrentHashMap<>();
  private final Map<String, Long> reportedMs = new ConcurrentHashMap<>();
  private volatile boolean entriesExpire;
  private volatile boolean down;

  Store(Consumer<String> log) throws IOException {
    this.log = log;
    server = Json.server("127.0.0.1", 0);
    server.createContext("/", this::serve);
    server.start();
    Thread expiry = new Thread(this::expireEntries);
    expiry.setDaemon(true);
    expiry.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** While it is down, the store answers every call with 503, also reports of workers. */
  void setDown(boolean value) {
    down = value;
    synchronized (this) {
      notifyAll();
    }
  }

  /** Removes the entries of workers after three status report intervals of silence, from now on. */
  void expireEntriesOfSilentWorkers() {
    entriesExpire = true;
  }

  /** Returns how long ago a worker has reported. */
  long reportAgeMs(String id) {
    return Json.steadyMs() - reportedMs.getOrDefault(id, Long.MIN_VALUE / 2);
  }

  private void expireEntries() {
    while (true) {
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
      reportedMs.forEach(
          (id, atMs) -> {
            if (entriesExpire
                && Json.steadyMs() - atMs > ENTRY_MS
                && reportedMs.remove(id, atMs)) {
              log.accept("the entry of worker " + id + " has expired");
              remove("servers", id);
            }
          });
    }
  }

  /** Writes the entry of a worker, if it is missing or more than its seq has changed. */
  private synchronized void report(String id, ObjectNode entry) {
    if (reportedMs.put(id, Json.steadyMs()) == null) {
      log.accept("the entry of worker " + id + " is there");
    }
    JsonNode content = entry.deepCopy().without("seq");
    boolean there = rows.containsKey(new Key("servers", "", id));
    if (!there || !content.equals(reported.put(id, content))) {
      put("servers", id, entry);
    }
  }

  /** Writes a row of the operator or of a worker. */
  synchronized void put(String table, String key, JsonNode value) {
    ver++;
    write(new Key(table, "", key), encode(value));
    notifyAll();
  }

  synchronized void remove(String table, String key) {
    ver++;
    drop(new Key(table, "", key));
    notifyAll();
  }

  /** Returns the decoded rows of a table, for the record. */
  synchronized List<String> dump(String table) {
    List<String> texts = new ArrayList<>();
    rows.forEach(
        (key, row) -> {
          if (key.table().equals(table)) {
            byte[] value = Base64.getDecoder().decode(row.value());
            texts.add(key.part() + "/" + key.key() + " " + value.length + " bytes");
          }
        });
    return texts;
  }

  void stop() {
    server.stop(0);
  }

  private static String encode(JsonNode value) {
    return Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
  }

  private void serve(HttpExchange call) throws IOException {
    try {
      String path = call.getRequestURI().getPath();
      byte[] body = call.getRequestBody().readAllBytes();
      if (down) {
        Json.answer(call, 503, Json.object());
        return;
      }
      if (path.equals("/standin/register")) {
        JsonNode entry = Json.read(body);
        report(entry.path("id").asText(), (ObjectNode) entry.path("entry"));
        Json.answer(call, 200, Json.object());
        return;
      }
      switch (path) {
        case "/api/rows-tx" -> transaction(call, body);
        case "/api/rows-get" -> range(call);
        case "/api/rows-feed" -> feed(call);
        default -> Json.answer(call, 404, Json.object());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      e.printStackTrace();
      call.close();
    }
  }

  private void transaction(HttpExchange call, byte[] bytes)
      throws IOException, InterruptedException {
    JsonNode body = Json.read(bytes);
    String refusal = refusal(body, bytes.length);
    if (!refusal.isEmpty()) {
      log.accept("store refuses a transaction with 400: " + refusal);
      Json.answer(call, 400, Json.object().put("error", refusal));
      return;
    }
    String part = partOf(body);
    synchronized (partLocks.computeIfAbsent(part, key -> new Object())) {
      Thread.sleep(TX_MS);
      ObjectNode answer;
      int status;
      synchronized (this) {
        boolean holds = true;
        for (JsonNode expected : body.path("expected_rev")) {
          Stored stored = rows.get(key(expected));
          holds &= (stored == null ? 0 : stored.ver()) == expected.path("ver").asLong();
        }
        status = holds ? 200 : 412;
        if (holds) {
          ver++;
          body.path("writes").forEach(row -> write(key(row), row.path("value").asText()));
          body.path("remove").forEach(row -> drop(key(row)));
          notifyAll();
        }
        answer = head();
        if (!holds) {
          ArrayNode list = answer.putArray("rows");
          for (JsonNode expected : body.path("expected_rev")) {
            Stored stored = rows.get(key(expected));
            if (stored != null) {
              add(list, key(expected), stored.value(), stored.ver());
            }
          }
        }
      }
      Json.answer(call, status, answer);
    }
  }

  private static String refusal(JsonNode body, int bytes) {
    int entries =
        body.path("expected_rev").size() + body.path("writes").size() + body.path("remove").size();
    if (entries > TX_ENTRIES) {
      return entries + " entries, at most " + TX_ENTRIES;
    }
    if (bytes > TX_BYTES) {
      return bytes + " bytes, at most " + TX_BYTES;
    }
    String part = partOf(body);
    for (String name : List.of("expected_rev", "writes", "remove")) {
      for (JsonNode row : body.path(name)) {
        if (!row.path("part").asText().equals(part)) {
          return "several parts";
        }
        for (String text : List.of("table", "part", "key")) {
          if (row.path(text).asText().getBytes(StandardCharsets.UTF_8).length > 200) {
            return text + " of more than 200 bytes";
          }
        }
        if (row.has("value")) {
          int length = Base64.getDecoder().decode(row.path("value").asText()).length;
          if (length > ROW_BYTES) {
            return "row "
                + row.path("table").asText()
                + "/"
                + row.path("key").asText()
                + " of "
                + length
                + " bytes, at most row_bytes = "
                + ROW_BYTES;
          }
        }
      }
    }
    return "";
  }

  private static String partOf(JsonNode body) {
    for (String name : List.of("expected_rev", "writes", "remove")) {
      for (JsonNode row : body.path(name)) {
        return row.path("part").asText();
      }
    }
    return "";
  }

  private void range(HttpExchange call) throws IOException, InterruptedException {
    Thread.sleep(READ_MS);
    Map<String, String> query = Json.query(call);
    String table = query.getOrDefault("table", "");
    String part = query.getOrDefault("part", "");
    Key from = new Key(table, part, query.getOrDefault("from", ""));
    String to = query.getOrDefault("to", "");
    int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    ObjectNode answer;
    synchronized (this) {
      answer = head();
      ArrayNode list = answer.putArray("rows");
      boolean more = false;
      int bytes = 0;
      for (var entry : rows.tailMap(from).entrySet()) {
        Key key = entry.getKey();
        if (!key.table().equals(table)
            || !key.part().equals(part)
            || (!to.isEmpty() && Key.compareBytes(key.key(), to) >= 0)) {
          break;
        }
        bytes += entry.getValue().value().length();
        if (list.size() == limit || bytes > PAGE_BYTES) {
          more = true;
          break;
        }
        add(list, key, entry.getValue().value(), entry.getValue().ver());
      }
      answer.put("has_more", more);
    }
    Json.answer(call, 200, answer);
  }

  private void feed(HttpExchange call) throws IOException, InterruptedException {
    Map<String, String> query = Json.query(call);
    String table = query.getOrDefault("table", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long untilMs = Json.steadyMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    ObjectNode answer;
    int status = 200;
    synchronized (this) {
      while (true) {
        forget();
        if (down) {
          status = 503;
          answer = Json.object();
          break;
        }
        if (after < historyFrom) {
          status = 410;
          answer = head();
          break;
        }
        answer = head();
        ArrayNode list = answer.putArray("rows");
        for (Change change : history) {
          if (change.ver() > after && change.key().table().equals(table)) {
            ObjectNode row = add(list, change.key(), change.value(), change.ver());
            if (change.value() == null) {
              row.remove("value");
              row.put("tombstone", true);
            }
          }
        }
        long leftMs = untilMs - Json.steadyMs();
        if (!list.isEmpty() || leftMs <= 0) {
          break;
        }
        wait(leftMs);
      }
    }
    Json.answer(call, status, answer);
  }

  private void forget() {
    while (!history.isEmpty() && Json.steadyMs() - history.peek().atMs() > HISTORY_MS) {
      historyFrom = history.remove().ver();
    }
  }

  private void write(Key key, String value) {
    rows.put(key, new Stored(value, ver));
    history.add(new Change(key, value, ver, Json.steadyMs()));
  }

  private void drop(Key key) {
    if (rows.remove(key) != null) {
      history.add(new Change(key, null, ver, Json.steadyMs()));
    }
  }

  private ObjectNode head() {
    return Json.object().put("ver", ver).put("now_ms", Json.steadyMs());
  }

  private static ObjectNode add(ArrayNode list, Key key, String value, long ver) {
    return list.addObject()
        .put("table", key.table())
        .put("part", key.part())
        .put("key", key.key())
        .put("value", value)
        .put("ver", ver);
  }

  private static Key key(JsonNode row) {
    return new Key(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
  }
}
