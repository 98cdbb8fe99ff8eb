package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class PoolLoaderTest {
  private static final String WORKERS = FakeDocuments.WORKERS;

  private final ScriptedStore store = new ScriptedStore();
  private final ManualExecutor executor = new ManualExecutor();
  private final JobRowCodec codec = new JobRowCodec();
  private final List<JobEvent> events = new ArrayList<>();
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  private final DecisionLog log = new DecisionLog(new PrintStream(logged, true, UTF_8));
  private final PoolLoader loader =
      new PoolLoader(store, executor, new FakeDocuments(), codec, log, TestFormats.spread());

  private void accept(String id) {
    store.put(JobTables.JOBS, id, codec.encode(TestJob.of(id)));
  }

  private JobEvent.TookOver tookOver() {
    return events.stream()
        .filter(JobEvent.TookOver.class::isInstance)
        .map(JobEvent.TookOver.class::cast)
        .findFirst()
        .orElseThrow();
  }

  @BeforeEach
  void fill() {
    accept("before");
    store.put(WORKERS, "w1", "ready".getBytes(UTF_8));
  }

  private void start() {
    loader.start(events::add, Optional::empty);
    executor.runAll();
  }

  @Test
  void readsJobsAndWorkers() {
    start();
    assertEquals(List.of(TestJob.of("before")), tookOver().jobs());
    assertEquals(1, tookOver().workers().size());
  }

  @Test
  void appliesChangesThatArriveDuringTheTakeover() {
    // Guards against losing a cancellation that is acknowledged between two reads of a takeover.
    store.hold(JobTables.RECORDS);
    start();
    accept("during");
    store.put(JobTables.JOBS, JobTables.cancelKey("before"), new byte[0]);
    store.put(WORKERS, "w2", "ready".getBytes(UTF_8));
    store.remove(WORKERS, "w1");
    executor.runAll();
    store.release(JobTables.RECORDS);
    executor.runAll();
    assertEquals(2, tookOver().jobs().size());
    assertEquals(Set.of("before"), tookOver().cancelled());
    assertEquals(List.of("w2"), tookOver().workers().stream().map(WorkerEntry::id).toList());
  }

  @Test
  void deliversChangesAfterTheTakeover() {
    start();
    accept("after");
    store.put(JobTables.JOBS, JobTables.cancelKey("after"), new byte[0]);
    store.remove(WORKERS, "w1");
    executor.runAll();
    assertTrue(events.contains(new JobEvent.Accepted(TestJob.of("after"))));
    assertTrue(events.contains(new JobEvent.CancelRequested("after")));
    assertTrue(events.contains(new JobEvent.WorkerUnlisted("w1")));
  }

  @Test
  void looksUpAJobThatTheFeedHasNotDelivered() {
    start();
    store.feedSilent = true;
    accept("hinted");
    store.put(JobTables.JOBS, JobTables.cancelKey("hinted"), new byte[0]);
    executor.runAll();
    assertEquals(1, events.size());
    loader.lookUp("hinted");
    executor.runAll();
    assertEquals(
        List.of(
            new JobEvent.Accepted(TestJob.of("hinted")), new JobEvent.CancelRequested("hinted")),
        events.subList(1, events.size()));
  }

  @Test
  void deliversNothingForAJobWithoutRows() {
    // A late hint must not revive a job that ended and was removed from the store.
    start();
    loader.lookUp("forgotten");
    executor.runAll();
    assertEquals(1, events.size());
  }

  @Test
  void ignoresAWorkerEntryThatFailsToDecode() {
    // Guards against one bad row that silently ends the following of its table.
    store.put(WORKERS, "w0", FakeDocuments.BROKEN.getBytes(UTF_8));
    start();
    assertEquals(List.of("w1"), tookOver().workers().stream().map(WorkerEntry::id).toList());
    store.put(WORKERS, "w2", FakeDocuments.BROKEN.getBytes(UTF_8));
    store.put(WORKERS, "w3", "ready".getBytes(UTF_8));
    executor.runAll();
    store.put(WORKERS, "w1", FakeDocuments.BROKEN.getBytes(UTF_8));
    executor.runAll();
    assertTrue(
        events.stream()
            .anyMatch(
                event ->
                    event instanceof JobEvent.WorkerListed listed
                        && listed.worker().id().equals("w3")));
    assertTrue(events.contains(new JobEvent.WorkerUnlisted("w1")));
  }

  @Test
  void usesAWorkerAgainWhoseEntryIsReplacedByAValidOne() {
    start();
    store.put(WORKERS, "w1", FakeDocuments.BROKEN.getBytes(UTF_8));
    executor.runAll();
    store.put(WORKERS, "w1", "ready".getBytes(UTF_8));
    executor.runAll();
    assertEquals(new JobEvent.WorkerUnlisted("w1"), events.get(1));
    assertEquals(JobEvent.WorkerListed.class, events.get(2).getClass());
  }

  @Test
  void logsAnUnusableEntryOnceUntilItIsGone() {
    // Guards against a line for every heartbeat, and against none after a takeover.
    store.put(WORKERS, "odd\nid", FakeDocuments.BROKEN.getBytes(UTF_8));
    start();
    for (int i = 0; i < 5; i++) {
      store.put(WORKERS, "odd\nid", FakeDocuments.BROKEN.getBytes(UTF_8));
      executor.runAll();
    }
    assertEquals(1, countOfUnusableEntries());
    store.historyLost = true;
    store.put(WORKERS, "odd\nid", FakeDocuments.BROKEN.getBytes(UTF_8));
    executor.runAll();
    store.historyLost = false;
    assertEquals(1, countOfUnusableEntries());
    store.remove(WORKERS, "odd\nid");
    executor.runAll();
    store.put(WORKERS, "odd\nid", FakeDocuments.BROKEN.getBytes(UTF_8));
    executor.runAll();
    assertEquals(2, countOfUnusableEntries());
  }

  private long countOfUnusableEntries() {
    log.close();
    return logged
        .toString(UTF_8)
        .lines()
        .filter(line -> line.startsWith("worker: id=odd?id entry describes no usable worker"))
        .count();
  }

  @Test
  void ignoresAJobThatFailsToDecode() {
    // Guards against a job without an objective that is decoded and fails the scheduler later.
    String complete = new String(codec.encode(TestJob.of("broken")), UTF_8);
    String broken = complete.replaceAll("\"objective\":\\{[^}]*},", "");
    assertTrue(broken.length() < complete.length(), complete);
    store.put(JobTables.JOBS, "broken", broken.getBytes(UTF_8));
    start();
    assertEquals(List.of(TestJob.of("before")), tookOver().jobs());
  }

  @Test
  void leavesOutAJobWhoseRecordFailsToDecode() {
    // Guards against a job that starts from the beginning because a newer build wrote its record.
    accept("newer");
    store.put(
        JobTables.RECORDS,
        "newer",
        "{\"job\":\"newer\",\"phase\":\"PAUSED\",\"tasks\":[]}".getBytes(UTF_8));
    start();
    assertEquals(List.of(TestJob.of("before")), tookOver().jobs());
    assertTrue(tookOver().records().isEmpty());
    loader.lookUp("newer");
    executor.runAll();
    assertEquals(1, events.size());
  }

  @Test
  void doesNotOfferTheRecordOfAJobThatFailsToDecode() {
    // Guards against the removal of a record as left over, although its job exists.
    store.put(JobTables.JOBS, "newer", "{\"id\":\"newer\"}".getBytes(UTF_8));
    JobRecord saved = new JobRecord("newer", JobPhase.RUNNING, 0, List.of());
    store.put(JobTables.RECORDS, "newer", codec.encode(saved));
    start();
    assertEquals(List.of(TestJob.of("before")), tookOver().jobs());
    assertTrue(tookOver().records().isEmpty());
  }

  @Test
  void continuesWhenTheListenerThrows() {
    events.clear();
    List<JobEvent> handled = new ArrayList<>();
    loader.start(
        event -> {
          if (event.equals(new JobEvent.Accepted(TestJob.of("bad")))) {
            throw new IllegalStateException("an event that cannot be handled");
          }
          handled.add(event);
        },
        Optional::empty);
    executor.runAll();
    accept("bad");
    executor.runAll();
    accept("good");
    executor.runAll();
    assertTrue(handled.contains(new JobEvent.Accepted(TestJob.of("good"))));
  }

  @Test
  void readsTheTableAgainWhenTheHistoryIsLost() {
    start();
    store.historyLost = true;
    accept("after");
    executor.runAll();
    assertTrue(events.contains(new JobEvent.Accepted(TestJob.of("after"))));
  }

  @Test
  void retriesWhileTheStoreIsUnavailable() {
    store.unavailable = true;
    start();
    assertTrue(events.isEmpty());
    store.unavailable = false;
    executor.runLater();
    assertEquals(1, tookOver().jobs().size());
  }

  /** Guards against takeovers that take a read of the store for each job or worker. */
  @Test
  void takesOverAPoolOf350WorkersAnd600JobsWithinTwoReads() {
    for (int job = 0; job < 600; job++) {
      String id = "%016x".formatted(job);
      accept(id);
      store.put(
          JobTables.RECORDS, id, codec.encode(new JobRecord(id, JobPhase.RUNNING, 0, List.of())));
    }
    for (int worker = 0; worker < 350; worker++) {
      store.put(WORKERS, "w" + worker, "ready".getBytes(UTF_8));
    }
    List<String> tables = List.of(JobTables.JOBS, JobTables.RECORDS, WORKERS);
    tables.forEach(store::hold);
    start();
    for (int reads = 0; reads < 2; reads++) {
      assertTrue(events.isEmpty());
      tables.forEach(store::release);
      tables.forEach(store::hold);
      executor.runAll();
    }
    assertEquals(601, tookOver().jobs().size());
    assertEquals(350, tookOver().workers().size());
  }
}
