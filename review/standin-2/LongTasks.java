import java.util.ArrayList;
import java.util.List;

/** A job whose tasks take ten minutes, one on each worker, instead of one minute. */
final class LongTasks {
  private static final int WORKERS = 33;
  private static final int LONG_MS = 600_000;
  private static final int USUAL_MS = 60_000;
  private static final long FINISH_MS = 14_000;
  private static final long STANDSTILL_MS = 3_000;
  private static final long WATCH_MS = 40_000;
  private static final Worker.Room SIZE = new Worker.Room(2_800, 5_700, 1);

  private final List<Worker> workers = new ArrayList<>();

  public static void main(String[] args) {
    Harness.run(args[0], harness -> new LongTasks().holds(harness));
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
              task -> SIZE));
    }
    harness.startNodes(3);
    Harness.sleep(4_000);
    String id = Harness.idOf(1);
    String path = "/pule252/" + id;
    int workMs = harness.trouble ? LONG_MS : USUAL_MS;
    Harness.Answer answer =
        harness.client(
            0,
            "POST",
            path,
            "{\"spec\":\"ms=" + workMs + "\",\"steps\":[{\"count\":" + WORKERS
                + ",\"anti_affinity\":1,\"cpu\":2800,\"mem_mb\":5700,\"gpu\":1,\"estimate_ms\":"
                + workMs + "}]}");
    if (answer.status() != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    harness.record.line("the traffic ends");
    Harness.sleep(FINISH_MS);
    long longestMs = longestStandstillMs(harness, id);
    harness.client(1, "GET", path, null);
    harness.record.line(
        "longest time in which nothing of the job ran: " + longestMs + " ms; starts "
            + workers.stream().mapToInt(Worker::starts).sum() + " for " + WORKERS + " tasks");
    return longestMs < STANDSTILL_MS;
  }

  /**
   * Returns the longest time for which the job has nothing running; it needs at most an eighth of
   * the capacity, and nothing else runs.
   */
  private long longestStandstillMs(Harness harness, String id) {
    long stillSinceMs = -1;
    long longestMs = 0;
    long endMs = harness.record.nowMs() + WATCH_MS;
    while (harness.record.nowMs() < endMs) {
      Harness.sleep(20);
      long nowMs = harness.record.nowMs();
      if (workers.stream().anyMatch(worker -> worker.runs(id))) {
        stillSinceMs = -1;
      } else {
        stillSinceMs = stillSinceMs < 0 ? nowMs : stillSinceMs;
        longestMs = Math.max(longestMs, nowMs - stillSinceMs);
      }
    }
    return longestMs;
  }
}
