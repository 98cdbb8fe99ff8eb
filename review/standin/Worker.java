import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.FileWriter;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * One life of a worker as PROTOCOL.md describes it, a process of its own.
 *
 * <p>The spec of a job tells it what a task needs and how long it works: "cpu=200 mem=256 gpu=0
 * min_ms=5000 max_ms=9000"; with
 * "checkpoint=1" a task saves its progress, and with "lasting=1" it works until it is stopped. What it starts, ends, and forgets goes to its log with the time of the
 * steady clock, a line each.
 *
 * <p>Arguments: ID PORT STORE CPU MEM_MB GPU LABELS LOG.
 */
public final class Worker {
  private static final int LISTED_ENDS = 500;
  private static final long HOLD_MAX_MS = 10_000;
  private static final long STOP_MS = 300;
  private static final long CHECKPOINT_MS = 500;
  private static final long STARTUP_MS = 500;
  private static final long REPORT_RETRY_MS = 50;
  private static final long BEAT_MS = 1_500;

  private static final class Run {
    String task;
    int run;
    String spec;
    int cpu;
    int mem;
    int gpu;
    long workMs;
    long doneMs;
    long startMs;
    long stopAtMs = Long.MAX_VALUE;
    String saved = "";
  }

  private record End(long number, String task, int run, String how, String saved) {}

  private final String id;
  private final int port;
  private final String store;
  private final int cpu;
  private final int mem;
  private final int gpu;
  private final String labels;
  private final FileWriter log;
  private final long bornMs = System.currentTimeMillis();
  private final long startMs = Json.steadyMs();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final TreeMap<Long, End> ended = new TreeMap<>();
  private final Map<String, Integer> closed = new HashMap<>();
  private long fence;
  private long untilMs;
  private long lastEnd;
  private int seq;

  private Worker(String[] args) throws IOException {
    id = args[0];
    port = Integer.parseInt(args[1]);
    store = args[2];
    cpu = Integer.parseInt(args[3]);
    mem = Integer.parseInt(args[4]);
    gpu = Integer.parseInt(args[5]);
    labels = args[6];
    log = new FileWriter(args[7], true);
  }

  public static void main(String[] args) throws Exception {
    new Worker(args).serve();
  }

  private void serve() throws Exception {
    HttpServer server = Json.server("127.0.0.1", port);
    server.createContext("/api/run-start", call -> answer(call, this::start));
    server.createContext("/api/run-stop", call -> answer(call, this::stop));
    server.createContext("/api/hold", call -> answer(call, this::hold));
    server.start();
    note("born " + bornMs);
    Thread beat = new Thread(this::beat);
    beat.setDaemon(true);
    beat.start();
    while (true) {
      synchronized (this) {
        advance();
      }
      Thread.sleep(5);
    }
  }

  private interface Call {
    int serve(JsonNode order, ObjectNode body) throws InterruptedException;
  }

  private void answer(HttpExchange call, Call action) throws IOException {
    JsonNode order = Json.read(call);
    String meant = call.getRequestHeaders().getFirst("Bambootray-Expect-Instance");
    ObjectNode body = Json.object();
    int status;
    try {
      synchronized (this) {
        advance();
        status = meant != null && !meant.equals(id) ? 421 : action.serve(order, body);
        body.put("clock_ms", clock()).put("born", bornMs);
      }
      Json.answer(call, status, body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      e.printStackTrace();
      call.close();
    }
  }

  private long clock() {
    return Json.steadyMs() - startMs;
  }

  private boolean isFenced(JsonNode order) {
    long token = order.path("fencing_token").asLong();
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private int start(JsonNode order, ObjectNode body) {
    if (isFenced(order)) {
      return refuse(body, "fence");
    }
    String task = order.path("task").asText();
    int run = order.path("run").asInt();
    Run there = running.get(task);
    if (there != null && there.run == run) {
      return 200;
    }
    long until = order.path("until_ms").asLong();
    if (until <= clock()) {
      return refuse(body, "late");
    }
    extend(until);
    if (run <= closed.getOrDefault(task, 0)) {
      return refuse(body, "old");
    }
    Run started = new Run();
    started.task = task;
    started.run = run;
    started.spec = order.path("spec").asText();
    started.cpu = field(started.spec, "cpu");
    started.mem = field(started.spec, "mem");
    started.gpu = field(started.spec, "gpu");
    int usedCpu = started.cpu;
    int usedMem = started.mem;
    int usedGpu = started.gpu;
    for (Run other : running.values()) {
      usedCpu += other.cpu;
      usedMem += other.mem;
      usedGpu += other.gpu;
    }
    if (usedCpu > cpu || usedMem > mem || usedGpu > gpu) {
      return refuse(body, "room");
    }
    int min = field(started.spec, "min_ms");
    int max = field(started.spec, "max_ms");
    started.workMs = min + (long) ((max - min) * share(task));
    String checkpoint = order.path("checkpoint").asText("");
    long doneMs = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint, 16);
    started.doneMs = doneMs;
    started.saved = checkpoint;
    started.startMs = Json.steadyMs();
    running.put(there == null ? task : task + "#" + run, started);
    note("start " + task + " " + run + " checkpoint=" + checkpoint);
    return 200;
  }

  private int stop(JsonNode order, ObjectNode body) {
    if (isFenced(order)) {
      return refuse(body, "fence");
    }
    String task = order.path("task").asText();
    int run = order.path("run").asInt();
    boolean found = false;
    for (Run one : running.values()) {
      if (one.task.equals(task) && one.run == run) {
        one.stopAtMs = Math.min(one.stopAtMs, Json.steadyMs() + STOP_MS);
        found = true;
      }
    }
    if (!found) {
      closed.merge(task, run, Math::max);
    }
    note("stop " + task + " " + run + " there=" + found);
    return 200;
  }

  private int hold(JsonNode order, ObjectNode body) throws InterruptedException {
    if (isFenced(order)) {
      return refuse(body, "fence");
    }
    if (order.has("until_ms")) {
      extend(order.path("until_ms").asLong());
    }
    long lastSeen = order.path("last_seen").asLong();
    while (!ended.isEmpty() && ended.firstKey() <= lastSeen) {
      End end = ended.pollFirstEntry().getValue();
      note("noted " + end.task() + " " + end.run() + " " + end.how());
    }
    long waitUntilMs = Json.steadyMs() + Math.min(2_000, order.path("wait_ms").asLong());
    while (ended.isEmpty() && Json.steadyMs() < waitUntilMs) {
      wait(Math.max(1, waitUntilMs - Json.steadyMs()));
    }
    ArrayNode runs = body.putArray("running");
    for (Run one : running.values()) {
      long percent =
          isLasting(one)
              ? (work(one) < STARTUP_MS ? 0 : 100)
              : Math.min(99, work(one) * 100 / Math.max(1, one.workMs));
      runs.addArray().add(one.task).add(one.run).add(saved(one)).add(percent).add(one.cpu);
    }
    ArrayNode ends = body.putArray("ended");
    for (End end : ended.values()) {
      if (ends.size() == LISTED_ENDS) {
        break;
      }
      ends.addArray()
          .add(end.number())
          .add(end.task())
          .add(end.run())
          .add(end.how())
          .add(end.saved());
    }
    return 200;
  }

  private static int refuse(ObjectNode body, String reason) {
    body.put("reason", reason);
    return 409;
  }

  private void extend(long until) {
    untilMs = Math.max(untilMs, Math.min(until, clock() + HOLD_MAX_MS));
  }

  private static long work(Run run) {
    return run.doneMs + Json.steadyMs() - run.startMs;
  }

  private static boolean isLasting(Run run) {
    return run.spec.contains("lasting=1");
  }

  private static String saved(Run run) {
    long steps = work(run) / CHECKPOINT_MS;
    if (run.spec.contains("checkpoint=1") && steps > 0) {
      run.saved = String.format("%016x", steps * CHECKPOINT_MS);
    }
    return run.saved;
  }

  /** Ends the runs whose time has come. */
  private void advance() {
    long nowMs = Json.steadyMs();
    boolean lapsed = clock() > untilMs;
    for (String key : running.keySet().toArray(String[]::new)) {
      Run run = running.get(key);
      String how =
          lapsed
              ? "lapsed"
              : !isLasting(run) && work(run) >= run.workMs ? "done" : nowMs >= run.stopAtMs ? "stopped" : "";
      if (!how.isEmpty()) {
        running.remove(key);
        closed.merge(run.task, run.run, Math::max);
        lastEnd++;
        String saved = how.equals("done") ? "" : saved(run);
        ended.put(lastEnd, new End(lastEnd, run.task, run.run, how, saved));
        note("end " + run.task + " " + run.run + " " + how);
        notifyAll();
      }
    }
  }

  /** Returns a number from 0 to 1 that depends on the task only. */
  private static double share(String task) {
    return new java.util.SplittableRandom(task.hashCode()).nextDouble();
  }

  private static int field(String spec, String name) {
    for (String pair : spec.split(" ")) {
      if (pair.startsWith(name + "=")) {
        return Integer.parseInt(pair.substring(name.length() + 1));
      }
    }
    return 0;
  }

  private synchronized void note(String text) {
    try {
      log.write(Json.steadyMs() + " " + id + " " + text + "\n");
      log.flush();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Registers and reports every heartbeat, and again soon if the store has refused a report. */
  private void beat() {
    HttpClient client = HttpClient.newHttpClient();
    while (true) {
      ObjectNode entry = Json.object();
      entry
          .put("service", "planner")
          .put("address", "127.0.0.1:" + port)
          .put("zone", "zone-a")
          .put("version", "1")
          .put("slots", cpu / 200)
          .put("state", "ready")
          .put("cold_remaining_ms", 0)
          .put("seq", ++seq)
          .put("born", bornMs);
      entry.putObject("capacity").put("cpu", cpu).put("mem_mb", mem).put("gpu", gpu);
      ArrayNode list = entry.putArray("labels");
      for (String label : labels.split(",")) {
        list.add(label);
      }
      ObjectNode body = Json.object().put("id", id);
      body.set("entry", entry);
      try {
        HttpResponse<Void> answer =
            client.send(
                HttpRequest.newBuilder(URI.create("http://" + store + "/standin/register"))
                    .timeout(Duration.ofSeconds(1))
                    .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                    .build(),
                HttpResponse.BodyHandlers.discarding());
        Thread.sleep(answer.statusCode() == 200 ? BEAT_MS : REPORT_RETRY_MS);
      } catch (IOException e) {
        // The harness has ended; it ends this process as well.
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
