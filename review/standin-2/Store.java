import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A store as {@code PROTOCOL.md} describes it: rows with versions, transactions under conditions
 * and a feed of changes. It keeps its limits: 100 entries and 1 MB a call, {@code row_bytes} a row.
 */
final class Store {
  static final int ROW_BYTES = 65_536;
  private static final int MAX_ENTRIES = 100;
  private static final int MAX_CALL_BYTES = 1_000_000;
  private static final int PAGE_ROWS = 500;
  private static final long TX_MS = 5;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** What becomes of a transaction: served, or done late without an answer. */
  record Fate(boolean lost, long lateMs) {
    static final Fate SERVED = new Fate(false, 0);
  }

  private record Row(String table, String part, String key, String value, long ver) {}

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Store::daemon);
  private final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(2, Store::daemon);
  private final Record record;
  private volatile Function<JsonNode, Fate> fates = tx -> Fate.SERVED;
  private long ver;

  Store(Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
    server.setExecutor(threads);
    server.createContext("/api/rows-tx", this::transaction);
    server.createContext("/api/rows-get", this::get);
    server.createContext("/api/rows-feed", this::feed);
    server.createContext("/api/rows-parts", this::parts);
    server.start();
  }

  static Thread daemon(Runnable body) {
    Thread thread = new Thread(body);
    thread.setDaemon(true);
    return thread;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Sets what becomes of the transactions of the system. */
  void fates(Function<JsonNode, Fate> value) {
    fates = value;
  }

  /** Writes a row for the operator or for a worker. */
  void put(String table, String key, Object value) {
    try {
      String text = Base64.getEncoder().encodeToString(JSON.writeValueAsBytes(value));
      synchronized (this) {
        ver++;
        write(new Row(table, "", key, text, ver));
        notifyAll();
      }
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  synchronized void remove(String table, String key) {
    if (rows.containsKey(place(table, "", key))) {
      ver++;
      write(new Row(table, "", key, null, ver));
      notifyAll();
    }
  }

  private void write(Row row) {
    String place = place(row.table(), row.part(), row.key());
    if (row.value() == null) {
      rows.remove(place);
    } else {
      rows.put(place, row);
    }
    history.add(row);
  }

  private static String place(String table, String part, String key) {
    return table + '\0' + part + '\0' + key;
  }

  private void transaction(HttpExchange call) throws IOException {
    byte[] body = call.getRequestBody().readAllBytes();
    JsonNode tx = JSON.readTree(body);
    Fate fate = fates.apply(tx);
    if (fate.lost()) {
      record.line("store: transaction without an answer, done " + fate.lateMs() + " ms later");
      timers.schedule(
          () -> {
            int status = apply(tx, body.length).path("status").asInt();
            record.line("store: late transaction done, status " + status + keys(tx));
          },
          fate.lateMs(),
          TimeUnit.MILLISECONDS);
      Harness.sleep(120_000); // The channel delivers nothing further.
      return;
    }
    Harness.sleep(TX_MS);
    ObjectNode answer = apply(tx, body.length);
    int status = answer.path("status").asInt();
    answer.remove("status");
    if (status != 200 && status != 412) {
      record.line("store: status " + status + " " + answer.path("error").asText() + keys(tx));
    }
    answer(call, status, answer);
  }

  private static String keys(JsonNode tx) {
    StringBuilder text = new StringBuilder();
    tx.path("writes")
        .forEach(
            row ->
                text.append(' ')
                    .append(row.path("table").asText())
                    .append('/')
                    .append(row.path("key").asText())
                    .append('(')
                    .append(bytes(row))
                    .append(')'));
    return text.toString();
  }

  private static int bytes(JsonNode row) {
    return Base64.getDecoder().decode(row.path("value").asText()).length;
  }

  private synchronized ObjectNode apply(JsonNode tx, int callBytes) {
    ObjectNode answer = JSON.createObjectNode();
    int entries = tx.path("expected_rev").size() + tx.path("writes").size() + tx.path("remove").size();
    if (entries > MAX_ENTRIES || callBytes > MAX_CALL_BYTES) {
      return answer.put("status", 400).put("error", entries + " entries, " + callBytes + " bytes");
    }
    for (JsonNode row : tx.path("writes")) {
      if (bytes(row) > ROW_BYTES) {
        return answer
            .put("status", 400)
            .put("error", "a value of " + bytes(row) + " bytes, row_bytes is " + ROW_BYTES);
      }
    }
    for (String list : List.of("writes", "remove")) {
      for (JsonNode row : tx.path(list)) {
        if (List.of("op", "servers").contains(row.path("table").asText())) {
          return answer.put("status", 403).put("error", "not writable");
        }
      }
    }
    boolean holds = true;
    ArrayNode found = JSON.createArrayNode();
    for (JsonNode row : tx.path("expected_rev")) {
      Row present = rows.get(placeOf(row));
      holds &= (present == null ? 0 : present.ver()) == row.path("ver").asLong();
      if (present != null) {
        found.add(json(present));
      }
    }
    if (!holds) {
      answer.set("rows", found);
      return answer.put("status", 412).put("ver", ver).put("now_ms", nowMs());
    }
    ver++;
    tx.path("writes")
        .forEach(
            row ->
                write(
                    new Row(
                        row.path("table").asText(),
                        row.path("part").asText(),
                        row.path("key").asText(),
                        row.path("value").asText(),
                        ver)));
    for (JsonNode row : tx.path("remove")) {
      if (rows.containsKey(placeOf(row))) {
        write(
            new Row(
                row.path("table").asText(),
                row.path("part").asText(),
                row.path("key").asText(),
                null,
                ver));
      }
    }
    notifyAll();
    return answer.put("status", 200).put("ver", ver).put("now_ms", nowMs());
  }

  private static String placeOf(JsonNode row) {
    return place(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
  }

  private void get(HttpExchange call) throws IOException {
    Map<String, String> query = query(call);
    String from = query.getOrDefault("from", "");
    String to = query.getOrDefault("to", "");
    int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    ObjectNode answer = JSON.createObjectNode();
    Harness.sleep(4);
    synchronized (this) {
      ArrayNode list = answer.putArray("rows");
      boolean more = false;
      int bytes = 0;
      String prefix = place(query.get("table"), query.getOrDefault("part", ""), "");
      for (Row row : rows.tailMap(prefix + from).values()) {
        if (!place(row.table(), row.part(), "").equals(prefix)
            || (!to.isEmpty() && row.key().compareTo(to) >= 0)) {
          break;
        }
        if (list.size() >= limit || bytes > MAX_CALL_BYTES) {
          more = true;
          break;
        }
        bytes += row.value().length();
        list.add(json(row));
      }
      answer.put("has_more", more).put("ver", ver).put("now_ms", nowMs());
    }
    answer(call, 200, answer);
  }

  private void parts(HttpExchange call) throws IOException {
    ObjectNode answer = JSON.createObjectNode();
    synchronized (this) {
      ArrayNode list = answer.putArray("parts");
      String table = query(call).get("table");
      rows.values().stream()
          .filter(row -> row.table().equals(table))
          .map(Row::part)
          .distinct()
          .forEach(list::add);
      answer.put("ver", ver).put("now_ms", nowMs());
    }
    answer(call, 200, answer);
  }

  private void feed(HttpExchange call) throws IOException {
    Map<String, String> query = query(call);
    String table = query.get("table");
    long after = Long.parseLong(query.get("after"));
    long endMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    ObjectNode answer = JSON.createObjectNode();
    synchronized (this) {
      List<Row> changed = changed(table, after);
      while (changed.isEmpty() && nowMs() < endMs) {
        try {
          wait(Math.max(1, endMs - nowMs()));
        } catch (InterruptedException e) {
          return;
        }
        changed = changed(table, after);
      }
      ArrayNode list = answer.putArray("rows");
      changed.forEach(row -> list.add(json(row)));
      answer.put("ver", ver).put("now_ms", nowMs());
    }
    answer(call, 200, answer);
  }

  private List<Row> changed(String table, long after) {
    List<Row> changed = new ArrayList<>();
    for (int i = history.size() - 1; i >= 0 && history.get(i).ver() > after; i--) {
      if (history.get(i).table().equals(table)) {
        changed.add(0, history.get(i));
      }
    }
    return changed;
  }

  private static ObjectNode json(Row row) {
    ObjectNode json =
        JSON.createObjectNode()
            .put("table", row.table())
            .put("part", row.part())
            .put("key", row.key())
            .put("ver", row.ver());
    return row.value() == null ? json.put("tombstone", true) : json.put("value", row.value());
  }

  private static Map<String, String> query(HttpExchange call) {
    Map<String, String> query = new HashMap<>();
    String raw = call.getRequestURI().getRawQuery();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  static void answer(HttpExchange call, int status, JsonNode body) throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(body);
    call.getResponseHeaders().set("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
    call.close();
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }
}
