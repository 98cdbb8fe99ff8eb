import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client hands a job in, gets no answer and cancels the job. The store has lost the answers to
 * the transactions of the submission, and does them late.
 */
final class LateSubmission {
  private static final int WORKERS = 8;
  private static final long LATE_MS = 6_000;
  private static final long CLIENT_LEAVES_MS = 900;
  private static final long CANCEL_MS = 3_000;
  private static final long CONTACT_MS = 4_000;
  private static final double LARGEST_SHARE = 0.35;
  private static final Worker.Room SIZE = new Worker.Room(2_000, 512, 0);

  private final List<Worker> workers = new ArrayList<>();
  private final Map<String, Boolean> background = new ConcurrentHashMap<>();
  private final AtomicInteger writes = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean losing;
  private volatile boolean ended;

  public static void main(String[] args) {
    Harness.run(args[0], harness -> new LateSubmission().holds(harness));
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
    String id = Harness.idOf(0xaaaa);
    String path = "/pufi791/" + id;
    harness.store.fates(tx -> fate(tx, id, harness.record));
    Thread others = Store.daemon(() -> submitOthers(harness));
    others.start();
    Harness.sleep(1_500);
    losing = harness.trouble;
    harness.record.line("trouble: platform_lost (late) begins: " + losing);
    String body =
        "{\"spec\":\"ms=9000\",\"steps\":[{\"count\":3,\"cpu\":2000,\"mem_mb\":512,"
            + "\"estimate_ms\":9000}]}";
    Harness.Answer submitted = harness.client(0, "POST", path, body, CLIENT_LEAVES_MS);
    losing = false;
    long calmMs = harness.record.nowMs();
    harness.record.line(
        "trouble: platform_lost ends; lost " + lost + " of " + writes + " transactions");
    Harness.sleep(100);
    Harness.Answer cancelled = harness.client(1, "DELETE", path, null);
    long acknowledgedMs = harness.record.nowMs();
    if (cancelled.status() / 100 != 2 && cancelled.status() != 410) {
      throw new IllegalStateException("the cancelling was not acknowledged");
    }
    if (harness.trouble && (submitted.status() == 200 || lost.get() > LARGEST_SHARE * writes.get())) {
      throw new IllegalStateException("the submission was answered, or too many were lost");
    }
    boolean holds = true;
    boolean before = false;
    while (harness.record.nowMs() < acknowledgedMs + 12_000) {
      boolean runs = workers.stream().anyMatch(worker -> worker.runs(id));
      long nowMs = harness.record.nowMs();
      boolean inTouch = nowMs > calmMs + CONTACT_MS;
      if (runs && !before && inTouch && nowMs > acknowledgedMs + CANCEL_MS) {
        harness.record.line(
            "a task of " + id + " starts " + (nowMs - acknowledgedMs)
                + " ms after the acknowledgement; the store is calm for "
                + (nowMs - calmMs) + " ms");
        holds = false;
      }
      before = runs;
      Harness.sleep(20);
    }
    harness.client(2, "GET", path, null);
    ended = true;
    others.join();
    return holds;
  }

  /** Loses the answers to the transactions of one submission, and no others. */
  private Store.Fate fate(JsonNode tx, String id, Record record) {
    if (!losing) {
      return Store.Fate.SERVED;
    }
    writes.incrementAndGet();
    for (JsonNode row : tx.path("writes")) {
      if (row.path("key").asText().equals(id)) {
        lost.incrementAndGet();
        return new Store.Fate(true, LATE_MS);
      }
    }
    return Store.Fate.SERVED;
  }

  private void submitOthers(Harness harness) {
    String body =
        "{\"spec\":\"ms=300\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":512,"
            + "\"estimate_ms\":300}]}";
    for (int i = 0; !ended; i++) {
      background.put(Harness.idOf(i), true);
      harness.client(i % 3, "POST", "/pufi791/" + Harness.idOf(i), body);
      Harness.sleep(300);
    }
  }
}
