import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A worker as {@code PROTOCOL.md} describes it, without gangs. The text {@code ms=N} in a task's
 * {@code spec} tells how long it works; without it, it works until it is stopped.
 */
final class Worker {
  private static final long HEARTBEAT_MS = 1_500;
  private static final long STOP_MS = 100;
  private static final long HOLD_MAX_MS = 10_000;
  private static final long CHECKPOINT_MS = 500;
  private static final int MAX_ENDS = 500;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(8, Store::daemon);

  /** What a worker can hold. */
  record Room(int cpu, int memMb, int gpu) {}

  /** Tells how large the tasks of a job are, which the orders do not say. */
  interface Sizes {
    Room of(String task);
  }

  private static final class Run {
    private final String task;
    private final int run;
    private final long startMs;
    private final long workMs;
    private boolean stopping;

    private Run(String task, int run, long startMs, long workMs) {
      this.task = task;
      this.run = run;
      this.startMs = startMs;
      this.workMs = workMs;
    }
  }

  final String id;
  private final Store store;
  private final Record record;
  private final Room room;
  private final List<String> labels;
  private final Sizes sizes;
  private final int port;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Integer> newestEnded = new HashMap<>();
  private final List<ArrayNode> ended = new ArrayList<>();
  private final Map<String, Integer> done = new HashMap<>();
  private HttpServer server;
  private boolean up;
  private long bornMs;
  private long bornNanos;
  private long lives;
  private long lastSeen;
  private long ends;
  private long fence;
  private long untilMs;
  private long seq;

  Worker(
      String id, Store store, Record record, Room room, List<String> labels, Sizes sizes)
      throws IOException {
    this.id = id;
    this.store = store;
    this.record = record;
    this.room = room;
    this.labels = labels;
    this.sizes = sizes;
    port = Harness.freePort("127.0.0.1");
    start();
    TIMERS.scheduleAtFixedRate(this::heartbeat, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    TIMERS.scheduleAtFixedRate(this::check, 20, 20, TimeUnit.MILLISECONDS);
  }

  /** Ends the process; all that it knows is gone. */
  synchronized void crash() {
    record.line("worker " + id + ": crashes with " + running.size() + " runs " + names());
    up = false;
    running.clear();
    ended.clear();
    newestEnded.clear();
    lastSeen = 0;
    ends = 0;
    fence = 0;
    untilMs = 0;
    server.stop(0);
    notifyAll();
  }

  /** Starts the process again under its id and address. */
  synchronized void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 128);
    server.setExecutor(Executors.newCachedThreadPool(Store::daemon));
    server.createContext("/api/run-start", call -> serve(call, this::runStart));
    server.createContext("/api/run-stop", call -> serve(call, this::runStop));
    server.createContext("/api/hold", call -> serve(call, this::hold));
    server.createContext("/health", call -> Store.answer(call, 200, JSON.createObjectNode()));
    bornMs = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    seq = 0;
    lives++;
    up = true;
    server.start();
    record.line("worker " + id + ": starts, life " + lives);
    register();
  }

  /** Ends the runs of a job as failed, as tasks that last may at any time. */
  synchronized void fail(String job) {
    for (Run run : List.copyOf(running.values())) {
      if (run.task.startsWith(job + ".")) {
        end(run, "failed");
      }
    }
  }

  /** Returns how many runs of a job have ended as done. */
  synchronized int done(String job) {
    return done.getOrDefault(job, 0);
  }

  synchronized boolean runs(String job) {
    return running.keySet().stream().anyMatch(task -> task.startsWith(job + "."));
  }

  /** Returns the thousandths of a core that its runs use. */
  synchronized long cpuInUse() {
    return running.keySet().stream().mapToLong(task -> sizes.of(task).cpu()).sum();
  }

  /** Returns the accelerators that its runs use. */
  synchronized long gpuInUse() {
    return running.keySet().stream().mapToLong(task -> sizes.of(task).gpu()).sum();
  }

  private synchronized List<String> names() {
    return running.values().stream().limit(5).map(run -> run.task + "#" + run.run).toList();
  }

  private synchronized void heartbeat() {
    if (up) {
      register();
    }
  }

  private void register() {
    seq++;
    ObjectNode entry =
        JSON.createObjectNode()
            .put("service", Harness.SERVICE)
            .put("address", "127.0.0.1:" + port)
            .put("zone", Harness.ZONE)
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("cold_remaining_ms", 0)
            .put("clock_ms", clockMs())
            .put("born", bornMs)
            .put("seq", seq);
    entry
        .putObject("capacity")
        .put("cpu", room.cpu())
        .put("mem_mb", room.memMb())
        .put("gpu", room.gpu());
    ArrayNode list = entry.putArray("labels");
    labels.forEach(list::add);
    store.put("servers", id, entry);
  }

  private long clockMs() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  private interface Call {
    ObjectNode answer(JsonNode body) throws InterruptedException;
  }

  private void serve(HttpExchange call, Call action) throws IOException {
    JsonNode body = JSON.readTree(call.getRequestBody().readAllBytes());
    String expected = call.getRequestHeaders().getFirst("Bambootray-Expect-Instance");
    long life;
    ObjectNode answer;
    try {
      synchronized (this) {
        life = lives;
        answer =
            expected != null && !expected.equals(id)
                ? JSON.createObjectNode().put("status", 421)
                : action.answer(body);
        if (!up || life != lives) {
          call.close();
          return;
        }
      }
    } catch (InterruptedException e) {
      return;
    }
    int status = answer.path("status").asInt(200);
    answer.remove("status");
    answer.put("clock_ms", clockMs()).put("born", bornMs);
    Store.answer(call, status, answer);
  }

  private static ObjectNode refused(String reason) {
    return JSON.createObjectNode().put("status", 409).put("reason", reason);
  }

  private boolean isFenced(JsonNode body) {
    long token = body.path("fencing_token").asLong();
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private ObjectNode runStart(JsonNode body) {
    if (isFenced(body)) {
      return refused("fence");
    }
    String task = body.path("task").asText();
    int run = body.path("run").asInt();
    long until = Math.min(body.path("until_ms").asLong(), clockMs() + HOLD_MAX_MS);
    if (until <= clockMs()) {
      return refused("late");
    }
    untilMs = Math.max(untilMs, until);
    Run present = running.get(task);
    if (present != null && present.run == run) {
      return JSON.createObjectNode();
    }
    if (present != null || run <= newestEnded.getOrDefault(task, 0)) {
      return refused("old");
    }
    if (!fits(sizes.of(task))) {
      return refused("room");
    }
    String spec = body.path("spec").asText();
    int at = spec.indexOf("ms=");
    long workMs = at < 0 ? -1 : Long.parseLong(spec.substring(at + 3).split("\\D", 2)[0]);
    running.put(task, new Run(task, run, clockMs(), workMs));
    record.line("worker " + id + ": begins " + task + "#" + run);
    return JSON.createObjectNode();
  }

  private boolean fits(Room size) {
    long cpu = size.cpu();
    long memMb = size.memMb();
    long gpu = size.gpu();
    for (String task : running.keySet()) {
      Room other = sizes.of(task);
      cpu += other.cpu();
      memMb += other.memMb();
      gpu += other.gpu();
    }
    return cpu <= room.cpu() && memMb <= room.memMb() && gpu <= room.gpu();
  }

  private ObjectNode runStop(JsonNode body) {
    if (isFenced(body)) {
      return refused("fence");
    }
    String task = body.path("task").asText();
    int run = body.path("run").asInt();
    Run present = running.get(task);
    if (present == null || present.run != run) {
      newestEnded.merge(task, run, Math::max);
    } else if (!present.stopping) {
      present.stopping = true;
      TIMERS.schedule(() -> end(present, "stopped"), STOP_MS, TimeUnit.MILLISECONDS);
    }
    return JSON.createObjectNode();
  }

  private ObjectNode hold(JsonNode body) throws InterruptedException {
    if (isFenced(body)) {
      return refused("fence");
    }
    if (body.has("until_ms")) {
      long until = Math.min(body.path("until_ms").asLong(), clockMs() + HOLD_MAX_MS);
      untilMs = Math.max(untilMs, until);
    }
    long seen = body.path("last_seen").asLong();
    lastSeen = Math.max(lastSeen, seen);
    ended.removeIf(end -> end.path(0).asLong() <= lastSeen);
    long life = lives;
    long endMs = clockMs() + Math.min(2_000, body.path("wait_ms").asLong());
    while (up && life == lives && ended.isEmpty() && clockMs() < endMs) {
      wait(Math.max(1, endMs - clockMs()));
    }
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode list = answer.putArray("running");
    for (Run run : running.values()) {
      long workedMs = clockMs() - run.startMs;
      long percent = run.workMs < 0 ? 100 : Math.min(99, 100 * workedMs / Math.max(1, run.workMs));
      list.addArray()
          .add(run.task)
          .add(run.run)
          .add("")
          .add(percent)
          .add(sizes.of(run.task).cpu());
    }
    ArrayNode listed = answer.putArray("ended");
    ended.stream().limit(MAX_ENDS).forEach(listed::add);
    return answer;
  }

  private synchronized void check() {
    if (!up) {
      return;
    }
    boolean lapsed = clockMs() > untilMs;
    for (Run run : List.copyOf(running.values())) {
      if (lapsed) {
        end(run, "lapsed");
      } else if (run.workMs >= 0 && clockMs() - run.startMs >= run.workMs && !run.stopping) {
        end(run, "done");
      }
    }
  }

  private synchronized void end(Run run, String how) {
    if (running.get(run.task) != run) {
      return;
    }
    running.remove(run.task);
    newestEnded.merge(run.task, run.run, Math::max);
    ends++;
    if (how.equals("done")) {
      done.merge(run.task.substring(0, run.task.indexOf('.')), 1, Integer::sum);
    }
    ended.add(
        JSON.createArrayNode().add(ends).add(run.task).add(run.run).add(how).add(""));
    record.line("worker " + id + ": ends " + run.task + "#" + run.run + " " + how);
    notifyAll();
  }
}
