package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.daemon.jobs.JobApi.CancelOutcome;
import dev.bambootray.daemon.jobs.ScriptedStore.CommitBehavior;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays submissions and cancellations whose transactions are applied late, in any order. */
final class LateCancellationTest {
  private static final long TIME_MS = 2_000;
  private static final int JOBS = 12;
  private static final int CALLS = 400;

  private final ScriptedStore store = new ScriptedStore();
  private final JobRowCodec codec = new JobRowCodec();
  private final DecisionLog log = DecisionLog.start();

  /** Jobs whose cancelling was acknowledged. */
  private final Map<String, CancelOutcome> cancelled = new HashMap<>();

  private JobApi node(StoreFormats formats) {
    OwnerRowStore owner = new OwnerRowStore(store, codec, log, formats);
    ManualExecutor executor = new ManualExecutor();
    return new JobApi(
        store,
        executor,
        codec,
        new DeclarationFollower(
            store, new ManualExecutor(), new FakeDocuments(), log, declaration -> {}),
        owner,
        log,
        JobMetrics.create(),
        new OwnerHintSender(owner, "n/1", (node, hint) -> {}, hint -> {}),
        formats);
  }

  private void call(JobApi node, String job, SplittableRandom random) {
    if (random.nextBoolean()) {
      // Attempts without an answer are repeated until one is refused.
      store.commitBehaviors.add(
          random.nextBoolean() ? CommitBehavior.LATE : CommitBehavior.APPLIED);
      store.commitBehaviors.add(CommitBehavior.REFUSED);
      store.commitBehaviors.add(CommitBehavior.REFUSED);
    }
    if (random.nextInt(3) > 0) {
      var unused = node.submit(TestJob.of(job), TIME_MS).join();
    } else {
      CancelOutcome outcome = node.cancel(job, TIME_MS).join();
      if (outcome == CancelOutcome.GONE || outcome == CancelOutcome.CANCELLED) {
        cancelled.putIfAbsent(job, outcome);
      }
    }
    store.commitBehaviors.clear();
    if (random.nextInt(4) == 0) {
      store.applyOneLate(random);
    }
  }

  /** Guards against a job without a mark after its cancelling was acknowledged. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aStoredJobIsMarkedOnceItsCancellingWasAcknowledged(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<JobApi> nodes = List.of(node(TestFormats.spread()), node(TestFormats.formatOne()));
    for (int i = 0; i < CALLS; i++) {
      call(nodes.get(random.nextInt(2)), "j" + random.nextInt(JOBS), random);
      assertMarked();
    }
    store.applyLate();
    assertTrue(cancelled.size() > JOBS / 2, cancelled::toString);
    assertMarked();
  }

  private void assertMarked() {
    for (String job : cancelled.keySet()) {
      boolean stored = store.has(JobTables.JOBS, job) || store.has(JobTables.JOBS_FORMAT_1, job);
      assertTrue(!stored || isMarked(job), () -> job + " is stored without a mark");
    }
  }

  /** The owner knows jobs by their identifiers, whichever format their rows have. */
  private boolean isMarked(String job) {
    String key = JobTables.cancelKey(job);
    return store.has(JobTables.JOBS, key) || store.has(JobTables.JOBS_FORMAT_1, key);
  }
}
