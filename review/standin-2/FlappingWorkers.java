import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Workers of one kind go down and up by turns while jobs run that require this kind. */
final class FlappingWorkers {
  private static final int WORKERS = 33;
  private static final int FLAPPING = 3;
  private static final long PERIOD_MS = 1_400;
  private static final long FLAP_MS = 6_500;
  private static final String TASK =
      "{\"count\":1,\"cpu\":4000,\"mem_mb\":1024,\"estimate_ms\":8000,\"requires\":\"b\"";
  private static final Worker.Room SIZE = new Worker.Room(4_000, 1_024, 0);

  private final Map<String, Worker.Room> sizes = new ConcurrentHashMap<>();
  private final List<Worker> workers = new ArrayList<>();

  public static void main(String[] args) {
    Harness.run(args[0], harness -> new FlappingWorkers().holds(harness));
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
              List.of(i < FLAPPING ? "b" : "a", "r1-" + i / 8),
              task -> SIZE));
    }
    harness.startNodes(3);
    Harness.sleep(4_000);
    String job = "/lohu930/" + Harness.idOf(1);
    String lasting = "/lohu930/" + Harness.idOf(2);
    harness.client(0, "POST", job, "{\"spec\":\"ms=8000\",\"steps\":[" + TASK + "}]}");
    harness.client(
        1, "POST", lasting, "{\"spec\":\"\",\"steps\":[" + TASK + ",\"long_running\":true}]}");
    Harness.sleep(2_000);
    if (harness.trouble) {
      flap(harness);
    } else {
      Harness.sleep(FLAP_MS);
    }
    boolean holds = true;
    long endMs = harness.record.nowMs() + 30_000;
    while (harness.record.nowMs() < endMs) {
      Harness.Answer state = harness.client(2, "GET", job, null);
      Harness.Answer stateOfLasting = harness.client(0, "GET", lasting, null);
      if (isLost(state) || isLost(stateOfLasting)) {
        holds = false;
        break;
      }
      if (state.body().contains("\"completed\"") && stateOfLasting.body().contains("\"running\"")) {
        break;
      }
      Harness.sleep(1_000);
    }
    if (!holds) {
      harness.record.line("a job is shown as failed; no run has ended as failed");
    }
    return holds;
  }

  private static boolean isLost(Harness.Answer state) {
    return state.body().contains("\"failed\"") || state.body().contains("\"cancelled\"");
  }

  /** Lets the workers go down and up, each at another time of the period. */
  private void flap(Harness harness) throws Exception {
    harness.record.line("trouble: srv_flap begins, " + FLAPPING + " of " + WORKERS + " workers");
    long beginMs = harness.record.nowMs();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < FLAPPING; i++) {
      Worker worker = workers.get(i);
      long shiftMs = i * PERIOD_MS / FLAPPING;
      threads.add(Store.daemon(() -> flap(harness, worker, beginMs + shiftMs, beginMs + FLAP_MS)));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    harness.record.line("trouble: srv_flap ends");
  }

  private static void flap(Harness harness, Worker worker, long beginMs, long endMs) {
    Harness.sleep(Math.max(0, beginMs - harness.record.nowMs()));
    try {
      while (harness.record.nowMs() + PERIOD_MS / 2 < endMs) {
        worker.crash();
        Harness.sleep(PERIOD_MS / 2);
        worker.start();
        Harness.sleep(PERIOD_MS / 2);
      }
    } catch (java.io.IOException e) {
      harness.record.line("worker " + worker.id + " does not start again: " + e);
    }
  }
}
