package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.daemon.jobs.ScriptedStore.CommitBehavior;
import dev.bambootray.jobs.lead.LeaseEffect;
import dev.bambootray.jobs.lead.LeaseEvent;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.scheduling.JobEffect;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class OwnerRowStoreTest {
  private static final OwnerRecord OWNER = new OwnerRecord("n/1", 1, 1, false, Map.of(), 0);

  private final ScriptedStore store = new ScriptedStore();
  private final OwnerRowStore rows =
      new OwnerRowStore(store, new JobRowCodec(), DecisionLog.start(), TestFormats.spread());

  private LeaseEvent commit(long expectedVersion) {
    JobEffect.Persist batch =
        new JobEffect.Persist(
            1, List.of(new JobRecord("j", JobPhase.RUNNING, 0, List.of())), List.of("old"));
    return rows.commit(
            new LeaseEffect.Commit(expectedVersion, OWNER, batch), CallTimeouts.COMMIT_MS)
        .join();
  }

  @Test
  void writesOwnerAndRecordsTogether() {
    store.put(JobTables.RECORDS, "old", new byte[0]);
    assertInstanceOf(LeaseEvent.Committed.class, commit(0));
    assertEquals(1, store.countOf(JobTables.RECORDS));
  }

  @Test
  void removesTheRowsOfAJob() {
    store.put(JobTables.JOBS, "old", new byte[0]);
    store.put(JobTables.JOBS, JobTables.cancelKey("old"), new byte[0]);
    store.put(JobTables.JOBS, "new", new byte[0]);
    assertTrue(rows.removeJobRows("old").join());
    assertEquals(1, store.countOf(JobTables.JOBS));
  }

  @Test
  void reportsARemovalWithoutAnAnswerAsNotDone() {
    store.commitBehaviors.add(CommitBehavior.APPLIED_WITHOUT_ANSWER);
    assertFalse(rows.removeJobRows("old").join());
  }

  @Test
  void removesTheMarkOfAJobThatIsNotStored() {
    store.put(JobTables.JOBS, JobTables.cancelKey("old"), new byte[0]);
    store.put(JobTables.JOBS_FORMAT_1, JobTables.cancelKey("old"), new byte[0]);
    assertTrue(rows.removeCancelMark("old").join());
    assertEquals(0, store.countOf(JobTables.JOBS));
    assertEquals(0, store.countOf(JobTables.JOBS_FORMAT_1));
  }

  /** Guards against a cancelled job that runs because its mark was taken for one without a job. */
  @Test
  void keepsTheMarkOfAJobThatIsStored() {
    store.put(JobTables.JOBS, "old", new byte[0]);
    store.put(JobTables.JOBS, JobTables.cancelKey("old"), new byte[0]);
    assertTrue(rows.removeCancelMark("old").join());
    assertEquals(2, store.countOf(JobTables.JOBS));
  }

  @Test
  void writesNothingIfTheOwnerRowHasChanged() {
    commit(0);
    LeaseEvent.Conflicted conflict = assertInstanceOf(LeaseEvent.Conflicted.class, commit(0));
    assertEquals(OWNER, conflict.owner());
  }

  @Test
  void readsWhatItWrote() {
    assertEquals(new LeaseEvent.OwnerRead(null, 0), rows.read().join());
    commit(0);
    assertEquals(OWNER, assertInstanceOf(LeaseEvent.OwnerRead.class, rows.read().join()).owner());
  }

  @Test
  void reportsARowThatFailsToDecodeAsNotRead() {
    // Guards against a claim with a lower epoch beside the owner of a newer build.
    store.put(JobTables.OWNER, JobTables.OWNER_KEY, "{\"holder\":\"n/1\"}".getBytes(UTF_8));
    assertEquals(new LeaseEvent.ReadFailed(), rows.read().join());
  }

  @Test
  void isReachableOnlyIfTheLatestCallWasAnswered() {
    // Guards against a node that stays ready for seconds after its store connections go silent.
    store.unavailable = true;
    rows.read().join();
    assertFalse(rows.isReachable());
    store.unavailable = false;
    rows.read().join();
    assertTrue(rows.isReachable());
    store.commitBehaviors.add(CommitBehavior.APPLIED_WITHOUT_ANSWER);
    commit(0);
    assertFalse(rows.isReachable());
  }
}
