package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.daemon.jobs.ScriptedStore.CommitBehavior;
import dev.bambootray.jobs.lead.LeaseEffect;
import dev.bambootray.jobs.lead.LeaseEvent;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.scheduling.JobEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StoreCallsTest {
  private static final long EPOCH = 3;
  private static final OwnerRecord OWNER = new OwnerRecord("n/1", EPOCH, 1, false, Map.of(), 0);

  private record Answer(long sentEpoch, JobEvent event) {}

  private final ScriptedStore store = new ScriptedStore();
  private final StoreFormats formats = TestFormats.spread();
  private final JobMetrics metrics = JobMetrics.create();
  private final List<LeaseEvent> leaseAnswers = new ArrayList<>();
  private final List<Answer> schedulerAnswers = new ArrayList<>();
  private Executor control = Runnable::run;
  private final StoreCalls calls =
      new StoreCalls(
          new OwnerRowStore(store, new JobRowCodec(), new RecordedLog().log(), formats),
          formats,
          metrics,
          action -> control.execute(action),
          leaseAnswers::add,
          (sentEpoch, event) -> schedulerAnswers.add(new Answer(sentEpoch, event)));

  @Nested
  final class OwnerRow {
    @Test
    void isReadAsWritten() {
      calls.commit(new LeaseEffect.Commit(0, OWNER, null), CallTimeouts.COMMIT_MS);
      calls.readOwner();
      assertEquals(2, leaseAnswers.size());
      assertInstanceOf(LeaseEvent.Committed.class, leaseAnswers.get(0));
      LeaseEvent.OwnerRead read = assertInstanceOf(LeaseEvent.OwnerRead.class, leaseAnswers.get(1));
      assertEquals(OWNER, read.owner());
    }

    /** Guards against an answer to a commit that the lease takes for one to a later commit. */
    @Test
    void isAnsweredOnlyForTheNewestCommit() {
      List<Runnable> posted = new ArrayList<>();
      control = posted::add;
      calls.commit(new LeaseEffect.Commit(0, OWNER, null), CallTimeouts.COMMIT_MS);
      calls.commit(new LeaseEffect.Commit(0, OWNER, null), CallTimeouts.COMMIT_MS);
      posted.forEach(Runnable::run);
      assertEquals(1, leaseAnswers.size());
      assertInstanceOf(LeaseEvent.Conflicted.class, leaseAnswers.get(0));
    }

    /** Guards against a slow store that shows only in the commits that succeed. */
    @Test
    void recordsTheTimeOfEveryCommit() {
      calls.commit(new LeaseEffect.Commit(0, OWNER, null), CallTimeouts.COMMIT_MS);
      store.unavailable = true;
      calls.commit(new LeaseEffect.Commit(0, OWNER, null), CallTimeouts.COMMIT_MS);
      String text = metrics.expose();
      assertTrue(text.contains("bambootray_job_commit_seconds_count 2"), text);
    }
  }

  @Nested
  final class RemovalOfJobRows {
    private RemovalOfJobRows() {
      store.put(JobTables.JOBS, "j", new byte[0]);
    }

    @Test
    void isAnsweredWithTheEpochOfTheCall() {
      calls.removeJobRows("j", EPOCH);
      assertEquals(0, store.countOf(JobTables.JOBS));
      assertEquals(List.of(new Answer(EPOCH, new JobEvent.JobRowsRemoved("j"))), schedulerAnswers);
    }

    /** Guards against a job that runs again because its record is removed before its rows. */
    @Test
    void isNotAnsweredWhileItsOutcomeIsUnknown() {
      store.commitBehaviors.add(CommitBehavior.REFUSED);
      calls.removeJobRows("j", EPOCH);
      store.commitBehaviors.add(CommitBehavior.APPLIED_WITHOUT_ANSWER);
      calls.removeJobRows("j", EPOCH);
      assertEquals(List.of(), schedulerAnswers);
    }

    /** Guards against a job that runs again because a newer build keeps a row elsewhere. */
    @Test
    void isNotTriedWhileANewerFormatIsInUse() {
      var unused = formats.update(false, true, true);
      calls.removeJobRows("j", EPOCH);
      assertEquals(1, store.countOf(JobTables.JOBS));
      assertEquals(List.of(), schedulerAnswers);
    }
  }
}
