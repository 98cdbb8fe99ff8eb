import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A job that lasts runs beside the usual traffic of a small deployment. Many jobs come at once; when
 * they have stopped coming, the task that lasts fails, as such tasks may.
 */
final class LastingTask {
  private static final int WORKERS = 33;
  private static final double BURST = 2.6;
  private static final long BURST_MS = 4_000;

  /** A task that lasts has to run again within this time and {@link #STANDSTILL_MS}. */
  private static final long RESTART_MS = 6_000;

  private static final long STANDSTILL_MS = 3_000;

  /** A kind of request: how often it comes, and what its one step has. */
  private record Kind(
      String prefix, double perSecond, int tasks, int[] gpus, int cpu, int memMb, int workMs) {
    String body(int gpu) {
      return "{\"spec\":\"ms="
          + workMs
          + "\",\"steps\":[{\"count\":"
          + tasks
          + ",\"cpu\":"
          + cpu
          + ",\"mem_mb\":"
          + memMb
          + ",\"gpu\":"
          + gpu
          + ",\"estimate_ms\":"
          + workMs
          + "}]}";
    }
  }

  private static final int[] GPUS = {1, 2, 4, 8, 8};
  private static final Kind BATCH_SET = new Kind("/lohu930/", 0.44, 5, GPUS, 13_000, 34_000, 8_500);
  private static final Kind PROOF = new Kind("/pufi791/", 1.07, 3, GPUS, 3_700, 5_500, 2_500);
  private static final Kind PLAN = new Kind("/pule252/", 0.517, 21, new int[] {1}, 2_800, 5_700, 6_100);
  private static final Worker.Room LASTING = new Worker.Room(13_000, 34_000, 8);

  private final Map<String, Worker.Room> sizes = new ConcurrentHashMap<>();
  private final List<Worker> workers = new ArrayList<>();
  private volatile double factor = 1;
  private volatile boolean ended;
  private int jobs;

  public static void main(String[] args) {
    Harness.run(args[0], harness -> new LastingTask().holds(harness));
  }

  private boolean holds(Harness harness) throws Exception {
    harness.putConfig();
    for (int i = 0; i < WORKERS; i++) {
      workers.add(
          new Worker(
              String.format("i-7f3a91%02x", i),
              harness.store,
              harness.record,
              new Worker.Room(32_000, 65_536, 8),
              List.of("a", "r1-" + i / 8),
              task -> sizes.get(task.substring(0, task.indexOf('.')))));
    }
    harness.startNodes(3);
    Harness.sleep(4_000);
    String id = Harness.idOf(0xbbbb);
    sizes.put(id, LASTING);
    harness.client(
        0,
        "POST",
        BATCH_SET.prefix() + id,
        "{\"spec\":\"\",\"long_running\":true,\"steps\":[{\"count\":1,\"cpu\":13000,\"mem_mb\":34000,"
            + "\"gpu\":8,\"estimate_ms\":8500,\"long_running\":true}]}");
    for (Kind kind : List.of(BATCH_SET, PROOF, PLAN)) {
      Store.daemon(() -> submit(harness, kind)).start();
    }
    Harness.sleep(25_000);
    if (!runs(id)) {
      throw new IllegalStateException("the job that lasts does not run");
    }
    factor = harness.trouble ? BURST : 1;
    harness.record.line("trouble: burst begins, x " + factor);
    Harness.sleep(BURST_MS);
    factor = 1;
    harness.record.line("trouble: burst ends");
    Harness.sleep(1_000);
    harness.record.line(
        "accelerators in use: " + workers.stream().mapToLong(Worker::gpuInUse).sum());
    harness.record.line("the task that lasts fails");
    workers.forEach(worker -> worker.fail(id));
    long failedMs = harness.record.nowMs();
    boolean restarted = false;
    while (!restarted && harness.record.nowMs() < failedMs + RESTART_MS + STANDSTILL_MS) {
      Harness.sleep(20);
      restarted = runs(id);
    }
    harness.record.line(
        restarted
            ? "it runs again after " + (harness.record.nowMs() - failedMs) + " ms"
            : "it has not run for " + (harness.record.nowMs() - failedMs) + " ms");
    harness.client(0, "GET", BATCH_SET.prefix() + id, null);
    while (!runs(id) && harness.record.nowMs() < failedMs + 60_000) {
      Harness.sleep(20);
    }
    harness.record.line("it runs after " + (harness.record.nowMs() - failedMs) + " ms: " + runs(id));
    ended = true;
    return restarted;
  }

  private boolean runs(String job) {
    return workers.stream().anyMatch(worker -> worker.runs(job));
  }

  private void submit(Harness harness, Kind kind) {
    double dueMs = harness.record.nowMs();
    for (int i = 0; !ended; i++) {
      dueMs += 1_000 / kind.perSecond() / factor;
      Harness.sleep(Math.max(0, (long) dueMs - harness.record.nowMs()));
      String id = nextId();
      int gpu = kind.gpus()[i % kind.gpus().length];
      sizes.put(id, new Worker.Room(kind.cpu(), kind.memMb(), gpu));
      harness.client(jobs % 3, "POST", kind.prefix() + id, kind.body(gpu));
    }
  }

  private synchronized String nextId() {
    jobs++;
    return Harness.idOf(jobs);
  }
}
