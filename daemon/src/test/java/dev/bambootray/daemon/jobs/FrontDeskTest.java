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
  private final List<Object> told = new ArrayList<>();
  private final FrontDesk desk =
      new FrontDesk(
          store,
          codec,
          new Declarations(
              store, new ManualExecutor(), new VersionDocuments(), log, declaration -> {}),
          owner,
          log,
          JobMetrics.create(),
          new OwnerHints(owner, "n/1", (node, hint) -> told.add(node + " " + hint), told::add));

  private void save(JobPhase phase) {
    store.put(JobTables.RECORDS, "j", codec.encode(new JobRecord("j", phase, 0, List.of())));
  }

  @Nested
  final class Submitting {
    @Test
    void tellsTheOwner() {
      // Jobs waited for 3.7 s beside free workers while the feed of the store was silent.
      owner.remember(new OwnerRecord("n2/7", 1, 1, false, Map.of()));
      desk.submit(JOB, TIME_MS).join();
      desk.cancel("j", TIME_MS).join();
      assertEquals(List.of("n2 " + new Hint("j", false), "n2 " + new Hint("j", true)), told);
    }

    @Test
    void tellsItselfIfItIsTheOwner() {
      owner.remember(new OwnerRecord("n/1", 1, 1, false, Map.of()));
      desk.submit(JOB, TIME_MS).join();
      assertEquals(List.of(new Hint("j", false)), told);
    }

    @Test
    void tellsNothingThatIsNotStored() {
      owner.remember(new OwnerRecord("n/1", 1, 1, false, Map.of()));
      store.away = true;
      desk.submit(JOB, TIME_MS).join();
      assertEquals(List.of(), told);
    }

    @Test
    void storesBeforeItAccepts() {
      assertEquals(SubmitOutcome.ACCEPTED, desk.submit(JOB, TIME_MS).join());
      assertEquals(1, store.countOf(JobTables.JOBS));
    }

    @Test
    void acceptsARepeatedJobOnce() {
      desk.submit(JOB, TIME_MS).join();
      assertEquals(SubmitOutcome.ACCEPTED, desk.submit(JOB, TIME_MS).join());
      assertEquals(1, store.countOf(JobTables.JOBS));
    }

    @Test
    void refusesAtOnceWhatTheStoreRefused() {
      store.away = true;
      assertEquals(SubmitOutcome.NOT_STORED, desk.submit(JOB, TIME_MS).join());
    }

    @Test
    void findsItsOwnWriteWhoseAnswerWasLost() {
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      assertEquals(SubmitOutcome.ACCEPTED, desk.submit(JOB, TIME_MS).join());
    }

    @Test
    void doesNotSayThatAJobNeverRunsWhenItMayBeStored() {
      // A refusal after an attempt without an answer must not be told as "not stored".
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      store.fates.add(Fate.REFUSED);
      assertEquals(SubmitOutcome.UNKNOWN, desk.submit(JOB, TIME_MS).join());
    }
  }

  @Nested
  final class StoreOutOfReach {
    @Test
    void turnsCallsAwayAtOnce() {
      // Calls to a node that was cut off from the store waited until their time was over.
      save(JobPhase.RUNNING);
      owner.noteFailure(JobNode.now().ms() - 1_000);
      store.silent = true;
      assertEquals(SubmitOutcome.NOT_STORED, desk.submit(JOB, TIME_MS).getNow(null));
      assertEquals(JobView.UNAVAILABLE, desk.state("j").getNow(null));
      assertEquals(CancelOutcome.UNAVAILABLE, desk.cancel("j", TIME_MS).getNow(null));
    }

    @Test
    void doesNotTurnAJobAwayThatMayBeStored() {
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      store.afterCommit = () -> owner.noteFailure(JobNode.now().ms() - 1_000);
      assertEquals(SubmitOutcome.UNKNOWN, desk.submit(JOB, TIME_MS).getNow(null));
    }

    @Test
    void servesAgainAfterAGoodRead() {
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
    void knowsAnAbsentJobFromAnUnreadableOne() {
      assertEquals(JobView.GONE, desk.state("j").join());
      store.away = true;
      assertEquals(JobView.UNAVAILABLE, desk.state("j").join());
    }

    @Test
    void showsWhatTheOwnerCounted() {
      Template template = new Template("t", "h", "/", "s", true, JOB.objective());
      assertEquals(Optional.empty(), desk.pending(template));
      owner.remember(new OwnerRecord("n/1", 1, 1, false, Map.of("t", 4L)));
      assertEquals(Optional.of(4L), desk.pending(template));
    }
  }

  @Nested
  final class Cancelling {
    @Test
    void marksTheJob() {
      desk.submit(JOB, TIME_MS).join();
      assertEquals(CancelOutcome.CANCELLED, desk.cancel("j", TIME_MS).join());
      assertEquals(2, store.countOf(JobTables.JOBS));
    }

    @Test
    void repeatsWithoutHarm() {
      desk.submit(JOB, TIME_MS).join();
      store.fates.add(Fate.APPLIED_WITHOUT_ANSWER);
      assertEquals(CancelOutcome.CANCELLED, desk.cancel("j", TIME_MS).join());
      assertEquals(CancelOutcome.CANCELLED, desk.cancel("j", TIME_MS).join());
    }

    @Test
    void knowsThatThereIsNoSuchJob() {
      assertEquals(CancelOutcome.GONE, desk.cancel("j", TIME_MS).join());
    }
  }
}
