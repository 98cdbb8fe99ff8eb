import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Small jobs come at a steady rate, and one large job among them. */
final class LargeJob {
  private static final int WORKERS = 33;
  private static final int SMALL_JOBS = 30;
  private static final int LARGE_TASKS = 5_000;
  private static final long FINISH_MS = 14_000;
  private static final long STANDSTILL_MS = 3_000;
  private static final long WATCH_MS = 20_000;
  private static final int SMALL_TASKS = 3;
  private static final Worker.Room SMALL = new Worker.Room(1_000, 512, 0);
  private static final Worker.Room LARGE = new Worker.Room(200, 64, 0);

  private final Map<String, Worker.Room> sizes = new ConcurrentHashMap<>();
  private final List<Worker> workers = new ArrayList<>();
  private final List<String> accepted = new ArrayList<>();

  public static void main(String[] args) {
    Harness.run(args[0], harness -> new LargeJob().holds(harness));
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
    String large = Harness.idOf(0xffff);
    for (int i = 0; i < SMALL_JOBS; i++) {
      if (i == 5 && harness.trouble) {
        sizes.put(large, LARGE);
        String body =
            "{\"spec\":\"ms=60000\",\"steps\":[{\"count\":"
                + LARGE_TASKS
                + ",\"cpu\":200,\"mem_mb\":64,\"estimate_ms\":60000}]}";
        harness.client(i % 3, "POST", "/pufi791/" + large, body);
      }
      String id = Harness.idOf(i);
      sizes.put(id, SMALL);
      String body =
          "{\"spec\":\"ms=2500\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem_mb\":512,"
              + "\"estimate_ms\":2500}]}";
      if (harness.client(i % 3, "POST", "/lohu930/" + id, body).status() == 200) {
        accepted.add(id);
      }
      Harness.sleep(1_000);
    }
    Harness.sleep(FINISH_MS);
    boolean holds = !standsStill(harness);
    for (String id : accepted) {
      harness.client(0, "GET", "/lohu930/" + id, null);
    }
    if (harness.trouble) {
      harness.client(0, "GET", "/pufi791/" + large, null);
    }
    return holds;
  }

  /**
   * Returns whether an accepted job has nothing running for 3 s on end, while under half of the
   * capacity is in use. Each small job fits many times over then.
   */
  private boolean standsStill(Harness harness) {
    long endMs = harness.record.nowMs() + WATCH_MS;
    Map<String, Long> stillSinceMs = new HashMap<>();
    Map<String, Long> longestMs = new TreeMap<>();
    while (harness.record.nowMs() < endMs) {
      long nowMs = harness.record.nowMs();
      long used = workers.stream().mapToLong(Worker::cpuInUse).sum();
      for (String id : accepted) {
        if (used * 2 >= WORKERS * 32_000L || ranOrRuns(id)) {
          stillSinceMs.remove(id);
        } else {
          long ms = nowMs - stillSinceMs.computeIfAbsent(id, key -> nowMs);
          longestMs.merge(id, ms, Math::max);
        }
      }
      Harness.sleep(50);
    }
    longestMs.values().removeIf(ms -> ms < STANDSTILL_MS);
    harness.record.line("jobs that stood still for 3 s or longer, in ms: " + longestMs);
    return !longestMs.isEmpty();
  }

  /** Returns whether a job has something running or all of its tasks have ended as done. */
  private boolean ranOrRuns(String id) {
    return workers.stream().anyMatch(worker -> worker.runs(id))
        || workers.stream().mapToInt(worker -> worker.done(id)).sum() >= SMALL_TASKS;
  }
}
