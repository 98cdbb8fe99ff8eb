package dev.bambootray.soak.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.adapters.http.ApiRequest;
import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.adapters.http.RequestRouter;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * The platform's store, by its published protocol: conditional transactions, ranges, a feed of
 * changes with a bounded history. Confined to one event loop.
 */
public final class StandInStore implements RequestRouter {
  private static final String REGISTRY = "servers";
  private static final String CLOSED_DOMAIN = "evacuate/";
  private static final int HISTORY = 5_000;
  private static final int PAGE = 500;
  private static final int DEFAULT_WAIT_MS = 0;

  /** Delays of a store that is well and of one that is slow. */
  private static final long USUAL_MS = 2;

  private static final long SLOW_MS = 200;

  /** A transaction that is carried out late waits for this long. */
  private static final long LATE_MS = 2_500;

  private static final double LOST_SHARE = 0.35;

  private record Key(String table, String part, String key) implements Comparable<Key> {
    @Override
    public int compareTo(Key other) {
      int byTable = table.compareTo(other.table);
      int byPart = byTable != 0 ? byTable : part.compareTo(other.part);
      return byPart != 0 ? byPart : key.compareTo(other.key);
    }
  }

  private record Change(Key key, String value, long version, boolean removed) {}

  private record Stored(String value, long version) {}

  private record Waiter(
      String table, long after, long untilMs, CompletableFuture<ApiResponse> answer) {}

  /** How the store misbehaves. */
  public enum Failure {
    /** Every call is answered with 503. */
    REFUSES,
    /** Every call is answered late. */
    SLOW,
    /** Some transactions are carried out without an answer. */
    LOSES_ANSWERS,
    /** Some transactions are carried out seconds later, without an answer. */
    LATE
  }

  private final TreeMap<Key, Stored> rows = new TreeMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private final BiConsumer<Long, Runnable> later;
  private final LongSupplier clock;
  private final SplittableRandom random;
  private final Map<Failure, Integer> failures = new EnumMap<>(Failure.class);
  private final SplittableRandom restarts;
  private final OwnerCount owners = new OwnerCount();
  private long version;
  private long historyFrom;

  /** Number of restarts; what an earlier life had not carried out is lost with it. */
  private int life;

  /**
   * Creates an empty store.
   *
   * @param seed decides which answers are lost and which restarts lose the history
   * @param later runs an action on the loop after some milliseconds
   * @param clock a steady clock in milliseconds
   */
  public StandInStore(long seed, BiConsumer<Long, Runnable> later, LongSupplier clock) {
    this.later = later;
    this.clock = clock;
    random = new SplittableRandom(seed);
    restarts = new SplittableRandom(seed).split();
  }

  /** Begins a fault; the same one may begin again before it has ended. */
  public void begin(Failure failure) {
    failures.merge(failure, 1, Integer::sum);
  }

  /** Ends a fault that has begun. */
  public void end(Failure failure) {
    failures.merge(failure, -1, Integer::sum);
  }

  private boolean has(Failure failure) {
    return failures.getOrDefault(failure, 0) > 0;
  }

  /** Drops the history; feeds that are behind have to begin anew. */
  public void compact() {
    history.clear();
    historyFrom = version;
  }

  /** Forgets all calls that wait and, by a coin, the history; rows and versions stay. */
  public void restart() {
    life++;
    waiters.clear();
    if (restarts.nextBoolean()) {
      compact();
    }
  }

  /** Returns how often a node has taken the pool over. */
  public int owners() {
    return owners.count();
  }

  /** Publishes a version of the configuration, as the operator does. */
  public void declare(int declarationVersion) {
    put(new Key("op", "", "config"), Documents.declaration(declarationVersion));
  }

  /**
   * Writes a worker's entry in the registry.
   *
   * @param draining whether it is leaving
   * @param sequence number of the report
   */
  public void register(WorkerEntry worker, boolean draining, int sequence) {
    put(new Key(REGISTRY, "", worker.id()), Documents.entry(worker, draining, sequence));
  }

  /** Removes a worker's entry, as the platform does when it has left. */
  public void unregister(String worker) {
    version++;
    drop(new Key(REGISTRY, "", worker));
    wake();
  }

  /** Closes a failure domain, as the operator does. */
  public void closeDomain(String domain) {
    put(new Key("op", "", CLOSED_DOMAIN + domain), Json.object());
  }

  /** Opens a failure domain that was closed. */
  public void openDomain(String domain) {
    version++;
    drop(new Key("op", "", CLOSED_DOMAIN + domain));
    wake();
  }

  /** Writes the odd entries of another writer in the registry and returns their keys. */
  public List<String> leaveOddEntries() {
    List<String> keys = new ArrayList<>();
    for (byte[] value : Documents.oddEntries()) {
      version++;
      keys.add("odd\nentry-" + keys.size());
      Key key = new Key(REGISTRY, "", keys.get(keys.size() - 1));
      apply(key, Base64.getEncoder().encodeToString(value));
    }
    wake();
    return keys;
  }

  private void put(Key key, JsonNode value) {
    version++;
    apply(key, Base64.getEncoder().encodeToString(Json.bytes(value)));
    wake();
  }

  @Override
  public PendingResponse route(ApiRequest request) {
    CompletableFuture<ApiResponse> answer = new CompletableFuture<>();
    long delayMs = has(Failure.SLOW) ? SLOW_MS : USUAL_MS;
    laterInThisLife(delayMs, () -> serve(request, answer));
    return PendingResponse.of(answer, response -> response);
  }

  private void laterInThisLife(long delayMs, Runnable action) {
    int current = life;
    later.accept(
        delayMs,
        () -> {
          if (life == current) {
            action.run();
          }
        });
  }

  private void serve(ApiRequest request, CompletableFuture<ApiResponse> answer) {
    if (has(Failure.REFUSES)) {
      answer.complete(ApiResponse.json(503, Json.object()));
      return;
    }
    switch (request.rawPath()) {
      case "/api/rows-tx" -> transaction(request, answer);
      case "/api/rows-get" -> answer.complete(range(request));
      case "/api/rows-feed" -> feed(request, answer);
      default -> answer.complete(ApiResponse.json(404, Json.object()));
    }
  }

  private void transaction(ApiRequest request, CompletableFuture<ApiResponse> answer) {
    JsonNode body = Json.read(request.body());
    if (has(Failure.LATE) && random.nextDouble() < LOST_SHARE) {
      laterInThisLife(LATE_MS, () -> commit(body)); // Nobody hears of it.
      return;
    }
    ApiResponse response = commit(body);
    if (has(Failure.LOSES_ANSWERS) && random.nextDouble() < LOST_SHARE) {
      return;
    }
    answer.complete(response);
  }

  private ApiResponse commit(JsonNode body) {
    for (JsonNode expected : body.path("expected_rev")) {
      Stored stored = rows.get(key(expected));
      long current = stored == null ? 0 : stored.version();
      if (current != expected.path("ver").asLong()) {
        return conflict(body);
      }
    }
    version++;
    body.path("writes").forEach(row -> apply(key(row), row.path("value").asText()));
    body.path("remove").forEach(row -> drop(key(row)));
    wake();
    return ApiResponse.json(200, head());
  }

  private ApiResponse conflict(JsonNode body) {
    ObjectNode answer = head();
    ArrayNode list = answer.putArray("rows");
    for (JsonNode expected : body.path("expected_rev")) {
      Stored stored = rows.get(key(expected));
      if (stored != null) {
        add(list, new Change(key(expected), stored.value(), stored.version(), false));
      }
    }
    return ApiResponse.json(412, answer);
  }

  private ApiResponse range(ApiRequest request) {
    String table = text(request, "table");
    String part = text(request, "part");
    String to = text(request, "to");
    int limit = Math.min(PAGE, number(request, "limit", PAGE));
    ObjectNode answer = head();
    ArrayNode list = answer.putArray("rows");
    boolean more = false;
    Key from = new Key(table, part, text(request, "from"));
    for (var entry : rows.tailMap(from).entrySet()) {
      Key key = entry.getKey();
      boolean inRange =
          key.table().equals(table)
              && key.part().equals(part)
              && (to.isEmpty() || key.key().compareTo(to) < 0);
      if (!inRange) {
        break;
      }
      if (list.size() == limit) {
        more = true;
        break;
      }
      add(list, new Change(key, entry.getValue().value(), entry.getValue().version(), false));
    }
    return ApiResponse.json(200, answer.put("has_more", more));
  }

  private void feed(ApiRequest request, CompletableFuture<ApiResponse> answer) {
    long after = number(request, "after", 0);
    if (after < historyFrom) {
      answer.complete(ApiResponse.json(410, Json.object()));
      return;
    }
    long untilMs = clock.getAsLong() + number(request, "wait_ms", DEFAULT_WAIT_MS);
    waiters.add(new Waiter(text(request, "table"), after, untilMs, answer));
    wake();
    later.accept(number(request, "wait_ms", DEFAULT_WAIT_MS) + 1L, this::wake);
  }

  /** Answers the feeds that have news or have waited for long enough. */
  private void wake() {
    Iterator<Waiter> each = waiters.iterator();
    List<Runnable> answers = new ArrayList<>();
    while (each.hasNext()) {
      Waiter waiter = each.next();
      ObjectNode answer = head();
      ArrayNode list = answer.putArray("rows");
      for (Change change : history) {
        if (change.version() > waiter.after() && change.key().table().equals(waiter.table())) {
          add(list, change);
        }
      }
      if (!list.isEmpty() || clock.getAsLong() >= waiter.untilMs()) {
        each.remove();
        answers.add(() -> waiter.answer().complete(ApiResponse.json(200, answer)));
      }
    }
    answers.forEach(Runnable::run);
  }

  private void apply(Key key, String value) {
    rows.put(key, new Stored(value, version));
    if (key.table().equals(OwnerCount.TABLE)) {
      owners.onRow(value);
    }
    note(new Change(key, value, version, false));
  }

  private void drop(Key key) {
    if (rows.remove(key) != null) {
      note(new Change(key, "", version, true));
    }
  }

  private void note(Change change) {
    history.add(change);
    if (history.size() > HISTORY) {
      historyFrom = history.remove().version();
    }
  }

  private ObjectNode head() {
    return Json.object().put("ver", version).put("now_ms", clock.getAsLong());
  }

  private static void add(ArrayNode list, Change change) {
    ObjectNode row =
        list.addObject()
            .put("table", change.key().table())
            .put("part", change.key().part())
            .put("key", change.key().key())
            .put("ver", change.version());
    if (change.removed()) {
      row.put("tombstone", true);
    } else {
      row.put("value", change.value());
    }
  }

  private static Key key(JsonNode row) {
    return new Key(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
  }

  private static String text(ApiRequest request, String name) {
    String value = request.queryText(name);
    return value == null ? "" : value;
  }

  private static int number(ApiRequest request, String name, int fallback) {
    String value = request.queryText(name);
    return value == null ? fallback : (int) Long.parseLong(value);
  }
}
