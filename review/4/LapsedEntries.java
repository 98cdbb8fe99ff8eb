import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Nine workers of one kind are full, and more than thirty jobs wait for them; one worker of another
 * kind is idle. The platform's store answers 503 for 4.5 s, in which the entries of all workers
 * expire; they are back at once after it. Then jobs for the idle worker come.
 */
public final class LapsedEntries {
  private static final int FULL_WORKERS = 9;
  private static final int WAITING_JOBS = 36;
  private static final int LATE_JOBS = 3;
  private static final String IDLE_WORKER = "i-0000000009";
  private static final long OUTAGE_MS = 4_500;
  private static final long SETTLE_MS = 5_000;
  private static final long FINISH_MS = 14_000;
  private static final long IDLE_MS = 8_000;

  private LapsedEntries() {}

  public static void main(String[] args) {
    Harness.run(args, LapsedEntries::play);
  }

  private static List<String> play(Harness harness, boolean trouble) throws Exception {
    harness.publishConfig(1, 4);
    for (int worker = 0; worker < FULL_WORKERS; worker++) {
      harness.worker("i-000000000" + worker, 32_000, 65_536, 8, "a,r1-1").start();
    }
    harness.worker(IDLE_WORKER, 32_000, 65_536, 8, "b,r1-2").start();
    for (int node = 1; node <= 3; node++) {
      harness.startNode("front-a-" + node);
    }
    harness.awaitReady();
    harness.store.expireEntriesOfSilentWorkers();
    Thread.sleep(4_000);
    for (int job = 0; job < FULL_WORKERS + WAITING_JOBS; job++) {
      // Each needs a worker of its own.
      String spec = "cpu=32000 mem=1024 gpu=8 min_ms=8000 max_ms=9000";
      ObjectNode body = Harness.job(spec, 1, 32_000, 1_024, 8, 8_500);
      harness.submit(String.format("a%015x", job), requiring("a", body));
    }
    Thread.sleep(1_000);
    // The entry of the idle worker is then not the first one to expire.
    while (harness.store.reportAgeMs(IDLE_WORKER) < 200
        || harness.store.reportAgeMs(IDLE_WORKER) > 600) {
      Thread.sleep(10);
    }
    harness.store.setDown(trouble);
    harness.note(trouble ? "the store answers 503 from now on" : "no disruption");
    Thread.sleep(OUTAGE_MS);
    harness.store.setDown(false);
    harness.note(trouble ? "the store answers again" : "no disruption");
    Thread.sleep(SETTLE_MS);
    List<String> late = new ArrayList<>();
    for (int job = 0; job < LATE_JOBS; job++) {
      String id = String.format("b%015x", job);
      String spec = "cpu=2000 mem=1024 gpu=1 min_ms=1000 max_ms=1500";
      if (harness.submit(id, requiring("b", Harness.job(spec, 1, 2_000, 1_024, 1, 1_000)))) {
        late.add(id);
      }
    }
    harness.note("the traffic ends");
    long trafficEndMs = Json.steadyMs();
    harness.awaitFinal(String.format("a%015x", FULL_WORKERS + WAITING_JOBS - 1), 60_000);
    Thread.sleep(Math.max(0, trafficEndMs + FINISH_MS - Json.steadyMs()) + IDLE_MS);
    return judge(harness, late);
  }

  private static ObjectNode requiring(String label, ObjectNode job) {
    ((ObjectNode) job.path("steps").get(0)).put("requires", label);
    return job;
  }

  /**
   * LOST: later than finish_s after the traffic, and for 3 s, a job has nothing running although its
   * turn has come, its worker is idle and less than half of the pool is in use.
   */
  private static List<String> judge(Harness harness, List<String> late) throws Exception {
    long fromMs = Json.steadyMs() - IDLE_MS;
    Set<String> running = new HashSet<>();
    Set<String> started = new HashSet<>();
    int mostRunning = 0;
    for (String[] event : harness.workerEvents()) {
      if (event[2].equals("start")) {
        started.add(event[3].substring(0, event[3].indexOf('.')));
        running.add(event[3] + "#" + event[4]);
      } else if (event[2].equals("end")) {
        running.remove(event[3] + "#" + event[4]);
      }
      if (Long.parseLong(event[0]) >= fromMs) {
        mostRunning = Math.max(mostRunning, running.size());
      }
    }
    mostRunning = Math.max(mostRunning, running.size());
    harness.note("runs at the same time in the last " + IDLE_MS + " ms: " + mostRunning);
    List<String> broken = new ArrayList<>();
    for (String job : late) {
      if (!started.contains(job) && mostRunning < FULL_WORKERS / 2) {
        broken.add(
            "LOST: job "
                + job
                + " was accepted, nothing of it has ever started, its worker is idle, and in the last "
                + IDLE_MS
                + " ms at most "
                + mostRunning
                + " runs worked in the pool; it is shown as "
                + harness.state(job));
      }
    }
    return broken;
  }
}
