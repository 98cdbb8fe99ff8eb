package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.daemon.jobs.FrontDesk.CancelOutcome;
import dev.bambootray.daemon.jobs.FrontDesk.SubmitOutcome;
import dev.bambootray.daemon.jobs.ScriptedStore.Fate;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.model.JobDeclaration.Template;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.ports.JobHints.Hint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class FrontDeskTest {
  private static final long TIME_MS = 2_000;
  private static final JobSpec JOB =
      new JobSpec(
          "j",
          "w",
          "t",
          "s",
          "p",
          List.of(StepSpec.builder(1, new Resources(1, 1, 1)).build()),
          new JobSpec.Objective(1, 1, 1, 1),
          JobSpec.Schedule.ONCE,
          1);

  private final ScriptedStore store = new ScriptedStore();
  private final JobRowCodec codec = new JobRowCodec();
  private final DecisionLog log = DecisionLog.start();
  private final OwnerRows owner = new OwnerRows(store, codec, log);
  private final List<Object> sent = new ArrayList<>();
  private final FrontDesk desk =
      new FrontDesk(
          store,
          codec,
          new Declarations(
              store, new ManualExecutor(), new VersionDocuments(), log, declaration -> {}),
          owner,
          log,
          JobMetrics.create(),
          new OwnerHints(owner, "n/1", (node, hint) -> sent.add(node + " " + hint), sent::add));

  private void save(JobPhase phase) {
    store.put(JobTables.RECORDS, "j", codec.encode(new JobRecord("j", phase, 0, List.of())));
  }

  @Nested
  final class Submitting {
    @Test
    void sendsAHintToTheOwner() {
      // Without hints, jobs waited 3.7 s despite free workers while the change feed was silent.
      owner.remember(new OwnerRecord("n2/7", 1, 1, false, Map.of()));
      desk.submit(JOB, TIME_MS).join();
      desk.cancel("j", TIME_MS).join();
      assertEquals(List.of("n2 " + new Hint("j", false), "n2 " + new Hint("j", true)), sent);
    }

    @Test
    void deliversTheHintLocallyIfItIsTheOwner() {
      owner.remember(new OwnerRecord("n/1", 1, 1, false, Map.of()));
      desk.submit(JOB, TIME_MS).join();
      assertEquals(List.of(new Hint("j", false)), sent);
    }

    @Test
    void sendsNoHintForAJobThatIsNotStored() {
      owner.remember(new OwnerRecord("n/1", 1, 1, false, Map.of()));
      store.away = true;
      desk.submit(JOB, TIME_MS).join();
      assertEquals(List.of(), sent);
    }

    @Test
    void storesAnAcceptedJob() {
      assertEquals(SubmitOutcome.ACCEPTED, desk.submit(JOB, TIME_MS).join());
      assertEquals(1, store.countOf(JobTables.JOBS));
    }

    @Test
    void storesARepeatedJobOnce() {
      desk.submit(JOB, TIME_MS).join();
      assertEquals(SubmitOutcome.ACCEPTED, desk.submit(JOB, TIME_MS).join());
      assertEquals(1, store.countOf(JobTables.JOBS));
    }

    @Test
    void reportsAJobThatTheStoreRefusedAsNotStored() {
      store.away = true;
      assertEquals(SubmitOutcome.NOT_STORED, desk.submit(JOB, TIME_MS).join());
    }

    @Test
    void acceptsAJobThatItStoredWithoutGettingTheAnswer() {
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      assertEquals(SubmitOutcome.ACCEPTED, desk.submit(JOB, TIME_MS).join());
    }

    @Test
    void reportsAJobThatMayBeStoredAsUnknown() {
      // A refused retry does not prove that the unanswered first attempt stored nothing.
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      store.fates.add(Fate.REFUSED);
      assertEquals(SubmitOutcome.UNKNOWN, desk.submit(JOB, TIME_MS).join());
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
      assertEquals(SubmitOutcome.NOT_STORED, desk.submit(JOB, TIME_MS).getNow(null));
      assertEquals(JobView.UNAVAILABLE, desk.state("j").getNow(null));
      assertEquals(CancelOutcome.UNAVAILABLE, desk.cancel("j", TIME_MS).getNow(null));
    }

    @Test
    void reportsAJobAsUnknownIfTheStoreIsLostAfterTheFirstAttempt() {
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      store.afterCommit = () -> owner.noteFailure(JobNode.now().ms() - 1_000);
      assertEquals(SubmitOutcome.UNKNOWN, desk.submit(JOB, TIME_MS).getNow(null));
    }

    @Test
    void servesAgainAfterASuccessfulRead() {
      owner.noteFailure(JobNode.now().ms() - 1_000);
      owner.read().join();
      assertEquals(SubmitOutcome.ACCEPTED, desk.submit(JOB, TIME_MS).join());
    }
  }

  @Nested
  final class Reading {
    @Test
    void showsAnAcceptedJobAsQueued() {
      desk.submit(JOB, TIME_MS).join();
      assertEquals(JobView.of(JobPhase.QUEUED), desk.state("j").join());
    }

    @Test
    void showsThePhaseOfTheRecord() {
      save(JobPhase.COMPLETED);
      assertEquals(JobView.of(JobPhase.COMPLETED), desk.state("j").join());
    }

    @Test
    void distinguishesAnAbsentJobFromAnUnavailableStore() {
      assertEquals(JobView.GONE, desk.state("j").join());
      store.away = true;
      assertEquals(JobView.UNAVAILABLE, desk.state("j").join());
    }

    @Test
    void reportsThePendingCountOfTheOwnerRow() {
      Template template = new Template("t", "h", "/", "s", true, JOB.objective());
      assertEquals(Optional.empty(), desk.pending(template));
      owner.remember(new OwnerRecord("n/1", 1, 1, false, Map.of("t", 4L)));
      assertEquals(Optional.of(4L), desk.pending(template));
    }
  }

  @Nested
  final class Cancelling {
    @Test
    void storesACancellationMark() {
      desk.submit(JOB, TIME_MS).join();
      assertEquals(CancelOutcome.CANCELLED, desk.cancel("j", TIME_MS).join());
      assertEquals(2, store.countOf(JobTables.JOBS));
    }

    @Test
    void canBeRepeated() {
      desk.submit(JOB, TIME_MS).join();
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      assertEquals(CancelOutcome.CANCELLED, desk.cancel("j", TIME_MS).join());
      assertEquals(CancelOutcome.CANCELLED, desk.cancel("j", TIME_MS).join());
    }

    @Test
    void reportsAnAbsentJobAsGone() {
      assertEquals(CancelOutcome.GONE, desk.cancel("j", TIME_MS).join());
    }
  }
}
