import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Small jobs come at a steady rate, and scheduled jobs with many occurrences among them. */
final class ScheduledJobs {
  private static final int WORKERS = 33;
  private static final int SECONDS = 45;
  private static final int SCHEDULED_PER_SECOND = 2;
  private static final int MANY = 5_000;
  private static final int FEW = 6;
  private static final int SMALL_TASKS = 3;
  private static final long FINISH_MS = 14_000;
  private static final long STANDSTILL_MS = 3_000;
  private static final long WATCH_MS = 20_000;
  private static final Worker.Room SIZE = new Worker.Room(1_000, 512, 0);

  private final Map<String, Worker.Room> sizes = new ConcurrentHashMap<>();
  private final List<Worker> workers = new ArrayList<>();
  private final List<String> accepted = new ArrayList<>();

  public static void main(String[] args) {
    Harness.run(args[0], harness -> new ScheduledJobs().holds(harness));
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
    int scheduled = 0;
    for (int i = 0; i < SECONDS; i++) {
      for (int j = 0; j < SCHEDULED_PER_SECOND; j++) {
        long dueMs = System.currentTimeMillis() + 60_000 * (1 + scheduled % 60);
        harness.client(
            scheduled % 3,
            "POST",
            "/lohu930/" + Harness.idOf(0x8000 + scheduled),
            "{\"spec\":\"ms=2500\",\"repeat_count\":" + (harness.trouble ? MANY : FEW)
                + ",\"initial_delay_ms\":" + dueMs
                + ",\"interval_ms\":3600000,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":512,"
                + "\"estimate_ms\":2500}]}");
        scheduled++;
      }
      String id = Harness.idOf(i);
      String body =
          "{\"spec\":\"ms=2500\",\"steps\":[{\"count\":" + SMALL_TASKS
              + ",\"cpu\":1000,\"mem_mb\":512,\"estimate_ms\":2500}]}";
      if (harness.client(i % 3, "POST", "/pufi791/" + id, body).status() == 200) {
        accepted.add(id);
      }
      Harness.sleep(1_000);
    }
    harness.record.line("the traffic ends; " + accepted.size() + " small jobs were accepted");
    Harness.sleep(FINISH_MS);
    boolean holds = !standsStill(harness);
    accepted.forEach(id -> harness.client(0, "GET", "/pufi791/" + id, null));
    return holds;
  }

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

  private boolean ranOrRuns(String id) {
    return workers.stream().anyMatch(worker -> worker.runs(id))
        || workers.stream().mapToInt(worker -> worker.done(id)).sum() >= SMALL_TASKS;
  }
}
