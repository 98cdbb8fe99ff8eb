import java.util.ArrayList;
import java.util.List;

/** Two tasks that last fail in turn on the one worker of their kind, as such tasks may. */
final class PausedWorker {
  private static final int WORKERS = 33;
  private static final int FAILURES = 4;
  private static final long BETWEEN_MS = 5_000;

  /** A task that lasts has to run again within this time and {@link #STANDSTILL_MS}. */
  private static final long RESTART_MS = 6_000;

  private static final long STANDSTILL_MS = 3_000;
  private static final Worker.Room SIZE = new Worker.Room(2_800, 5_700, 1);

  private final List<Worker> workers = new ArrayList<>();

  public static void main(String[] args) {
    Harness.run(args[0], harness -> new PausedWorker().holds(harness));
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
              List.of(i == 0 ? "b" : "a", "r1-" + i / 8),
              task -> SIZE));
    }
    harness.startNodes(3);
    Harness.sleep(4_000);
    List<String> jobs = List.of(Harness.idOf(1), Harness.idOf(2));
    for (String id : jobs) {
      harness.client(
          0,
          "POST",
          "/pule252/" + id,
          "{\"spec\":\"\",\"steps\":[{\"count\":1,\"cpu\":2800,\"mem_mb\":5700,\"gpu\":1,"
              + "\"estimate_ms\":6100,\"requires\":\"b\",\"long_running\":true}]}");
    }
    awaitRuns(harness, jobs);
    long longestMs = 0;
    for (int i = 0; i < FAILURES; i++) {
      Harness.sleep(BETWEEN_MS);
      // Without the disruption, the tasks of one job fail only.
      String id = jobs.get(harness.trouble ? i % 2 : 0);
      harness.record.line("the task of " + id + " fails");
      workers.get(0).fail(id);
      long waitedMs = awaitRuns(harness, jobs);
      harness.record.line("it runs again after " + waitedMs + " ms");
      longestMs = Math.max(longestMs, waitedMs);
    }
    jobs.forEach(id -> harness.client(1, "GET", "/pule252/" + id, null));
    harness.record.line("longest time without a run: " + longestMs + " ms");
    return longestMs <= RESTART_MS + STANDSTILL_MS;
  }

  private long awaitRuns(Harness harness, List<String> jobs) {
    long beginMs = harness.record.nowMs();
    while (!jobs.stream().allMatch(id -> workers.get(0).runs(id))) {
      if (harness.record.nowMs() > beginMs + 30_000) {
        throw new IllegalStateException("a job does not run");
      }
      Harness.sleep(20);
    }
    return harness.record.nowMs() - beginMs;
  }
}
