package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.daemon.jobs.JobApi.CancelOutcome;
import dev.bambootray.daemon.jobs.JobApi.SubmitOutcome;
import dev.bambootray.daemon.jobs.ScriptedStore.CommitBehavior;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.model.JobDeclaration.Template;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.ports.JobHintSender.Hint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class JobApiTest {
  private static final long TIME_MS = 2_000;
  private static final JobSpec JOB = TestJob.of("j");

  private final ScriptedStore store = new ScriptedStore();
  private final JobRowCodec codec = new JobRowCodec();
  private final DecisionLog log = DecisionLog.start();
  private final StoreFormats formats = TestFormats.spread();
  private final OwnerRowStore owner = new OwnerRowStore(store, codec, log, formats);
  private final List<Object> sent = new ArrayList<>();
  private final ManualExecutor executor = new ManualExecutor();
  private final JobApi api =
      new JobApi(
          store,
          executor,
          codec,
          new DeclarationFollower(
              store, new ManualExecutor(), new FakeDocuments(), log, declaration -> {}),
          owner,
          log,
          JobMetrics.create(),
          new OwnerHintSender(owner, "n/1", (node, hint) -> sent.add(node + " " + hint), sent::add),
          formats);

  private void save(JobPhase phase) {
    store.put(JobTables.RECORDS, "j", codec.encode(new JobRecord("j", phase, 0, List.of())));
  }

  @Nested
  final class Submitting {
    @Test
    void sendsAHintToTheOwner() {
      // Without hints, jobs waited 3.7 s despite free workers while the change feed was silent.
      owner.setNewest(new OwnerRecord("n2/7", 1, 1, false, Map.of(), 0));
      api.submit(JOB, TIME_MS).join();
      api.cancel("j", TIME_MS).join();
      assertEquals(List.of("n2 " + new Hint("j", false), "n2 " + new Hint("j", true)), sent);
    }

    @Test
    void deliversTheHintLocallyIfItIsTheOwner() {
      owner.setNewest(new OwnerRecord("n/1", 1, 1, false, Map.of(), 0));
      api.submit(JOB, TIME_MS).join();
      assertEquals(List.of(new Hint("j", false)), sent);
    }

    @Test
    void sendsNoHintForAJobThatIsNotStored() {
      owner.setNewest(new OwnerRecord("n/1", 1, 1, false, Map.of(), 0));
      store.unavailable = true;
      api.submit(JOB, TIME_MS).join();
      assertEquals(List.of(), sent);
    }

    @Test
    void storesAnAcceptedJob() {
      assertEquals(SubmitOutcome.ACCEPTED, api.submit(JOB, TIME_MS).join());
      assertEquals(1, store.countOf(JobTables.JOBS));
    }

    @Test
    void storesARepeatedJobOnce() {
      api.submit(JOB, TIME_MS).join();
      assertEquals(SubmitOutcome.ACCEPTED, api.submit(JOB, TIME_MS).join());
      assertEquals(1, store.countOf(JobTables.JOBS));
    }

    @Test
    void reportsAJobThatTheStoreRefusedAsNotStored() {
      store.unavailable = true;
      assertEquals(SubmitOutcome.NOT_STORED, api.submit(JOB, TIME_MS).join());
    }

    @Test
    void acceptsAJobThatItStoredWithoutGettingTheAnswer() {
      store.commitBehaviors.add(CommitBehavior.APPLIED_WITHOUT_ANSWER);
      assertEquals(SubmitOutcome.ACCEPTED, api.submit(JOB, TIME_MS).join());
    }

    @Test
    void reportsAJobThatMayBeStoredAsUnknown() {
      // A refused retry does not prove that the unanswered first attempt stored nothing.
      store.commitBehaviors.add(CommitBehavior.APPLIED_WITHOUT_ANSWER);
      store.commitBehaviors.add(CommitBehavior.REFUSED);
      assertEquals(SubmitOutcome.UNKNOWN, api.submit(JOB, TIME_MS).join());
    }
  }

  /** The owner has published that it holds as many jobs as it can. */
  @Nested
  final class PoolFull {
    private void publish(int heldPercent) {
      owner.setNewest(new OwnerRecord("n/1", 1, 1, false, Map.of(), heldPercent));
    }

    private SubmitOutcome submit(JobSpec job) {
      return api.submit(job, TIME_MS).getNow(null);
    }

    /** Guards against jobs that no owner can hold in memory. */
    @Test
    void refusesFurtherJobs() {
      publish(100);
      assertEquals(SubmitOutcome.POOL_FULL, submit(TestJob.builder("j").priority(0).build()));
      assertEquals(0, store.countOf(JobTables.JOBS));
    }

    @Test
    void keepsTheRestForTheHighestPriority() {
      publish(99);
      assertEquals(SubmitOutcome.POOL_FULL, submit(TestJob.builder("j").priority(1).build()));
      assertEquals(SubmitOutcome.ACCEPTED, submit(TestJob.builder("j").priority(0).build()));
      publish(79);
      assertEquals(SubmitOutcome.ACCEPTED, submit(TestJob.builder("k").priority(1).build()));
    }

    /** Guards against telling a caller that a stored job will never run. */
    @Test
    void acceptsAStoredJobThatIsSentAgain() {
      assertEquals(SubmitOutcome.ACCEPTED, submit(JOB));
      publish(100);
      assertEquals(SubmitOutcome.ACCEPTED, submit(JOB));
      store.unavailable = true;
      assertEquals(SubmitOutcome.UNKNOWN, submit(JOB));
    }
  }

  @Nested
  final class StoreUnreachable {
    @Test
    void refusesCallsAtOnce() {
      // Guards against calls to a node without a store connection that wait until their deadline.
      save(JobPhase.RUNNING);
      owner.noteFailure(JobNode.now().ms() - 1_000);
      store.silent = true;
      assertEquals(SubmitOutcome.NOT_STORED, api.submit(JOB, TIME_MS).getNow(null));
      assertEquals(JobView.UNAVAILABLE, api.state("j", TIME_MS).getNow(null));
      assertEquals(CancelOutcome.UNAVAILABLE, api.cancel("j", TIME_MS).getNow(null));
    }

    @Test
    void reportsAJobAsUnknownIfTheStoreIsLostAfterTheFirstAttempt() {
      store.commitBehaviors.add(CommitBehavior.APPLIED_WITHOUT_ANSWER);
      store.afterCommit = () -> owner.noteFailure(JobNode.now().ms() - 1_000);
      assertEquals(SubmitOutcome.UNKNOWN, api.submit(JOB, TIME_MS).getNow(null));
    }

    @Test
    void servesAgainAfterASuccessfulRead() {
      owner.noteFailure(JobNode.now().ms() - 1_000);
      owner.read().join();
      assertEquals(SubmitOutcome.ACCEPTED, api.submit(JOB, TIME_MS).join());
    }
  }

  /** Replays a store that refuses all calls for some seconds. */
  @Nested
  final class StoreBusy {
    private void becomeBusy() {
      store.unavailable = true;
      store.busy = true;
      owner.noteFailure(JobNode.now().ms() - 1_000);
    }

    private void recover() {
      store.unavailable = false;
      store.busy = false;
      owner.read().join();
    }

    @Test
    void callsGoOnAsSoonAsTheStoreServesAgain() {
      save(JobPhase.RUNNING);
      becomeBusy();
      CompletableFuture<SubmitOutcome> submission = api.submit(JOB, TIME_MS);
      CompletableFuture<JobView> view = api.state("j", TIME_MS);
      CompletableFuture<CancelOutcome> cancellation = api.cancel("j", TIME_MS);
      assertFalse(submission.isDone() || view.isDone() || cancellation.isDone());
      recover();
      assertEquals(SubmitOutcome.ACCEPTED, submission.getNow(null));
      assertEquals(JobView.of(JobPhase.RUNNING), view.getNow(null));
      assertEquals(CancelOutcome.CANCELLED, cancellation.getNow(null));
    }

    @Test
    void callersAreSentAwayAfterTheLongestWait() {
      becomeBusy();
      CompletableFuture<SubmitOutcome> submission = api.submit(JOB, TIME_MS);
      executor.runLater();
      assertEquals(SubmitOutcome.NOT_STORED, submission.getNow(null));
      recover();
      assertEquals(0, store.countOf(JobTables.JOBS));
    }

    @Test
    void callersWithoutTimeAreSentAwayAtOnce() {
      becomeBusy();
      assertEquals(
          SubmitOutcome.NOT_STORED, api.submit(JOB, CallTimeouts.MIN_CALL_MS).getNow(null));
    }

    @Test
    void aRefusedAttemptIsRepeated() {
      store.busy = true;
      store.commitBehaviors.add(CommitBehavior.REFUSED);
      CompletableFuture<SubmitOutcome> submission = api.submit(JOB, TIME_MS);
      assertFalse(submission.isDone());
      executor.runLater();
      assertEquals(SubmitOutcome.ACCEPTED, submission.getNow(null));
    }

    @Test
    void noMoreCallsWaitThanTheLimit() {
      becomeBusy();
      for (int i = 0; i < StoreWaitPolicy.MAX_WAITING; i++) {
        assertFalse(api.submit(JOB, TIME_MS).isDone());
      }
      assertEquals(SubmitOutcome.NOT_STORED, api.submit(JOB, TIME_MS).getNow(null));
    }
  }

  @Nested
  final class Reading {
    @Test
    void showsAnAcceptedJobAsQueued() {
      api.submit(JOB, TIME_MS).join();
      assertEquals(JobView.of(JobPhase.QUEUED), api.state("j", TIME_MS).join());
    }

    @Test
    void showsThePhaseOfTheRecord() {
      save(JobPhase.COMPLETED);
      assertEquals(JobView.of(JobPhase.COMPLETED), api.state("j", TIME_MS).join());
    }

    @Test
    void distinguishesAnAbsentJobFromAnUnavailableStore() {
      assertEquals(JobView.GONE, api.state("j", TIME_MS).join());
      store.unavailable = true;
      assertEquals(JobView.UNAVAILABLE, api.state("j", TIME_MS).join());
    }

    @Test
    void reportsThePendingCountOfTheOwnerRow() {
      Template template = new Template("t", "h", "/", "s", true, JOB.objective());
      assertEquals(Optional.empty(), api.pending(template));
      owner.setNewest(new OwnerRecord("n/1", 1, 1, false, Map.of("t", 4L), 0));
      assertEquals(Optional.of(4L), api.pending(template));
    }
  }

  @Nested
  final class Cancelling {
    @Test
    void storesACancellationMark() {
      api.submit(JOB, TIME_MS).join();
      assertEquals(CancelOutcome.CANCELLED, api.cancel("j", TIME_MS).join());
      assertEquals(2, store.countOf(JobTables.JOBS));
    }

    @Test
    void canBeRepeated() {
      api.submit(JOB, TIME_MS).join();
      store.commitBehaviors.add(CommitBehavior.APPLIED_WITHOUT_ANSWER);
      assertEquals(CancelOutcome.CANCELLED, api.cancel("j", TIME_MS).join());
      assertEquals(CancelOutcome.CANCELLED, api.cancel("j", TIME_MS).join());
    }

    @Test
    void reportsAnAbsentJobAsGone() {
      assertEquals(CancelOutcome.GONE, api.cancel("j", TIME_MS).join());
    }
  }

  /** A submission got no answer, its caller cancels the job, and the store may apply it late. */
  @Nested
  final class CancellingWhileASubmissionIsLate {
    private void submitLate() {
      store.commitBehaviors.add(CommitBehavior.LATE);
      store.commitBehaviors.add(CommitBehavior.REFUSED);
      assertEquals(SubmitOutcome.UNKNOWN, api.submit(JOB, TIME_MS).join());
    }

    /** Guards against a job that runs after its cancelling was acknowledged with 410. */
    @Test
    void keepsTheJobFromBeingStored() {
      submitLate();
      assertEquals(CancelOutcome.GONE, api.cancel("j", TIME_MS).join());
      store.applyLate();
      assertFalse(store.has(JobTables.JOBS, "j"));
      assertEquals(JobView.GONE, api.state("j", TIME_MS).join());
    }

    @Test
    void cancelsAJobThatIsStoredBetweenReadAndMark() {
      submitLate();
      store.hold(JobTables.JOBS_FORMAT_1);
      CompletableFuture<CancelOutcome> cancellation = api.cancel("j", TIME_MS);
      store.applyLate();
      store.release(JobTables.JOBS_FORMAT_1);
      assertEquals(CancelOutcome.CANCELLED, cancellation.join());
      assertTrue(store.has(JobTables.JOBS, JobTables.cancelKey("j")));
    }

    /** Guards against a submission that a node stores in the other format. */
    @Test
    void marksTheJobInBothFormats() {
      assertEquals(CancelOutcome.GONE, api.cancel("j", TIME_MS).join());
      assertTrue(store.has(JobTables.JOBS, JobTables.cancelKey("j")));
      assertTrue(store.has(JobTables.JOBS_FORMAT_1, JobTables.cancelKey("j")));
    }

    @Test
    void refusesTheJobIfItIsSubmittedAgain() {
      submitLate();
      api.cancel("j", TIME_MS).join();
      assertEquals(SubmitOutcome.CANCELLED, api.submit(JOB, TIME_MS).join());
      assertFalse(store.has(JobTables.JOBS, "j"));
    }

    @Test
    void isNotAcknowledgedBeforeTheMarkIsStored() {
      store.commitBehaviors.add(CommitBehavior.APPLIED);
      store.commitBehaviors.add(CommitBehavior.REFUSED);
      assertEquals(CancelOutcome.UNAVAILABLE, api.cancel("j", TIME_MS).join());
    }

    /** Guards against a store that fills with marks of identifiers which nobody submitted. */
    @Test
    void isLimitedForUnknownJobs() {
      List<CancelOutcome> outcomes =
          IntStream.range(0, 1_000).mapToObj(i -> api.cancel("x" + i, TIME_MS).join()).toList();
      assertTrue(outcomes.contains(CancelOutcome.LIMITED));
      api.submit(JOB, TIME_MS).join();
      assertEquals(CancelOutcome.CANCELLED, api.cancel("j", TIME_MS).join());
    }
  }
}
