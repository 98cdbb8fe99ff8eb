package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class RecordBatcherTest {
  private static final int MAX_JOBS = 60;
  private static final EventTime NOW = new EventTime(0, 0);

  private final RecordBatcher batches = new RecordBatcher();
  private int jobs;

  private Job job() {
    JobSpec spec =
        new JobSpec(
            "job" + jobs++,
            "ws",
            "template",
            "service",
            "payload",
            List.of(StepSpec.builder(1, new Resources(1, 1, 1)).build()),
            new JobSpec.Objective(1, 1, 1.0, 1),
            JobSpec.Schedule.ONCE,
            0);
    return Job.of(spec, null, NOW);
  }

  private List<Job> markChanged(int count) {
    List<Job> marked = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      marked.add(job());
      batches.markChanged(marked.get(i));
    }
    return marked;
  }

  private void store() {
    assertTrue(batches.hasBatchToWrite());
    batches.onDurable(batches.takeBatch(0).batch());
  }

  /** Guards against starts that wait for ever while more jobs change than a batch has room for. */
  @Test
  void aChangeIsStoredWithItsBatchHoweverManyFollow() {
    long batch = batches.markChanged(job());
    markChanged(3 * MAX_JOBS);
    for (int round = 0; round < 10; round++) {
      markChanged(2 * MAX_JOBS);
      store();
      assertTrue(batches.isDurable(batch));
    }
  }

  @Test
  void aChangeDuringTheWriteGoesIntoALaterBatch() {
    Job job = job();
    long first = batches.markChanged(job);
    JobEffect.Persist written = batches.takeBatch(0);
    long second = batches.markChanged(job);
    batches.onDurable(written.batch());
    assertTrue(batches.isDurable(first));
    assertFalse(batches.isDurable(second));
    store();
    assertTrue(batches.isDurable(second));
  }

  @Test
  void eachBatchHasTheOldestChangesUpToItsLimit() {
    markChanged(MAX_JOBS + 5);
    long last = batches.latestChangeBatch();
    assertEquals(MAX_JOBS, batches.takeBatch(0).records().size());
    assertFalse(batches.hasBatchToWrite());
    batches.onDurable(1);
    assertFalse(batches.isDurable(last));
    assertEquals(5, batches.takeBatch(0).records().size());
    batches.onDurable(2);
    assertTrue(batches.isDurable(last));
    assertFalse(batches.hasBatchToWrite());
  }

  @Test
  void nothingIsLeftToStoreAfterTheLastBatch() {
    batches.markRemoved("gone");
    assertTrue(batches.isDurable(batches.latestChangeBatch()));
    store();
    assertTrue(batches.isDurable(batches.latestChangeBatch()));
    assertFalse(batches.hasBatchToWrite());
  }

  @Test
  void aJobInALaterBatchMayChangeAgainWhileAnEarlierOneIsWritten() {
    List<Job> marked = markChanged(MAX_JOBS + 1);
    Job late = marked.get(MAX_JOBS);
    JobEffect.Persist first = batches.takeBatch(0);
    long batch = batches.markChanged(late);
    batches.onDurable(first.batch());
    assertFalse(batches.isDurable(batch));
    store();
    assertTrue(batches.isDurable(batch));
  }
}
