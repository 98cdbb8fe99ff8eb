package dev.bambootray.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.scheduling.SchedulingPolicy;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import dev.bambootray.standins.jobs.IdleCapacityCheck;
import dev.bambootray.standins.jobs.PoolSimulation;
import dev.bambootray.standins.jobs.SimulatedWork;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Each test breaks one promise, so that a check that sees nothing fails here. */
final class PromiseBookTest {
  private static final String JOB = "00000000000000aa";
  private static final String NODE = "node0";
  private final PromiseBook book = new PromiseBook();

  PromiseBookTest() {
    book.submitting(job(JOB, false));
  }

  private static SoakJob job(String id, boolean cancelled) {
    StepSpec step = StepSpec.builder(2, new Resources(1, 1_000, 1_000)).build();
    return new SoakJob(id, "payload", List.of(step), SimulatedWork.of(100), false, cancelled);
  }

  private static RunName run(int index, int number) {
    return new RunName(new TaskName(JOB, 0, 0, index), number);
  }

  private void start(RunName run, RunName... elsewhere) {
    book.started("w1", run, "payload", "", List.of(elsewhere), 10_000);
  }

  private void assertViolation(String text) {
    assertEquals(1, book.violations().size(), book.violations()::toString);
    assertTrue(book.violations().get(0).contains(text), book.violations()::toString);
  }

  @Test
  void acceptsAJobThatRunsOnceAndCompletes() {
    book.answered(JOB, 200, false);
    start(run(0, 1), run(0, 1));
    start(run(1, 1), run(0, 1), run(1, 1));
    book.ended(new RunEnd(1, run(0, 1), Cause.DONE, ""));
    book.ended(new RunEnd(2, run(1, 1), Cause.DONE, ""));
    book.shown(JOB, "completed", NODE);
    book.settle(List.of());
    assertEquals(List.of(), book.violations());
    assertEquals(List.of(), book.open());
  }

  @Nested
  final class Submissions {
    @Test
    void seesALostJob() {
      book.answered(JOB, 200, false);
      book.settle(List.of());
      assertViolation("was accepted and is still shown");
    }

    @Test
    void seesAJobThatIsShownAsGone() {
      book.answered(JOB, 200, false);
      book.shown(JOB, "gone", NODE);
      assertViolation("is shown as gone");
    }

    @Test
    void seesANodeThatDoesNotKnowAnAcceptedJob() {
      book.answered(JOB, 200, false);
      book.shown(JOB, "running", NODE);
      book.shown(JOB, "status 404", "node1");
      assertViolation("is shown as status 404 by node1");
    }

    @Test
    void allowsAJobThatWasNotAcceptedToBeUnknown() {
      book.answered(JOB, 0, false);
      book.shown(JOB, "gone", NODE);
      assertEquals(List.of(), book.violations());
    }

    @Test
    void waitsForAJobThatIsSubmittedAgain() {
      book.answered(JOB, 0, false);
      assertEquals(List.of(JOB), book.open());
      book.answered(JOB, 503, true);
      assertEquals(List.of(), book.open());
    }

    @Test
    void returnsTheAcceptedJobs() {
      book.submitting(job("00000000000000bb", false));
      book.answered(JOB, 200, false);
      book.answered("00000000000000bb", 503, true);
      assertEquals(List.of(JOB), book.accepted());
    }

    @Test
    void seesARefusedJobThatRunsLater() {
      book.answered(JOB, 503, true);
      start(run(0, 1));
      assertViolation("was refused and runs");
    }

    @Test
    void seesARefusedJobThatHasRun() {
      start(run(0, 1));
      book.answered(JOB, 503, true);
      assertViolation("was refused and has run");
    }

    @Test
    void allowsAJobWithAnUnknownOutcomeToRun() {
      book.answered(JOB, 0, false);
      book.answered(JOB, 503, true);
      start(run(0, 1));
      assertEquals(List.of(), book.violations());
    }

    @Test
    void seesAWrongAnswer() {
      book.answered(JOB, 404, false);
      assertViolation("status 404");
    }
  }

  @Nested
  final class Runs {
    @Test
    void seesATaskThatRunsTwice() {
      start(run(0, 2), run(0, 1), run(0, 2));
      assertViolation("while the task runs elsewhere");
    }

    @Test
    void seesATaskThatStartsAgainAfterItsEnd() {
      book.noted(new RunEnd(1, run(0, 1), Cause.DONE, ""));
      start(run(0, 2), run(0, 2));
      assertViolation("was noted as done");
    }

    @Test
    void seesATaskThatStartsAgainBeforeItsEndIsNoted() {
      RunEnd end = new RunEnd(1, run(0, 1), Cause.DONE, "");
      book.ended(end);
      start(run(0, 2), run(0, 2));
      book.noted(end);
      assertViolation("which is noted now");
    }

    @Test
    void acceptsATaskThatStartsAgainAfterItsEndWasLost() {
      book.ended(new RunEnd(1, run(0, 1), Cause.DONE, ""));
      start(run(0, 1), run(0, 1));
      RunEnd end = new RunEnd(1, run(0, 1), Cause.DONE, "");
      book.ended(end);
      book.noted(end);
      assertEquals(List.of(), book.violations());
    }

    @Test
    void seesAForeignJob() {
      book.started(
          "w1", new RunName(new TaskName("other", 0, 0, 0), 1), "payload", "", List.of(), 0);
      assertViolation("nobody submitted it");
    }

    @Test
    void seesAForeignPayload() {
      book.started("w1", run(0, 1), "another", "", List.of(), 0);
      assertViolation("another payload");
    }

    @Test
    void seesAForeignCheckpoint() {
      book.saved(run(0, 1), "500");
      book.started("w1", run(0, 2), "payload", "500", List.of(), 0);
      assertEquals(List.of(), book.violations());
      book.started("w1", run(0, 3), "payload", "900", List.of(), 0);
      assertViolation("not its own");
    }

    @Test
    void seesAStartLongAfterTheCancelling() {
      book.cancelled(JOB, 1_000);
      start(run(0, 1));
      assertViolation("long after the job was cancelled");
    }

    @Test
    void allowsALateStartNearAFault() {
      book.cancelled(JOB, 1_000);
      book.disturbed(9_000);
      start(run(0, 1));
      assertEquals(List.of(), book.violations());
    }

    @Test
    void seesARunThatOutlivesItsJob() {
      book.answered(JOB, 200, false);
      book.cancelled(JOB, 1_000);
      book.shown(JOB, "failed", NODE);
      book.settle(List.of(run(0, 1)));
      assertViolation("still runs");
    }
  }

  @Nested
  final class States {
    @Test
    void seesACompletedJobWithOpenTasks() {
      book.answered(JOB, 200, false);
      book.ended(new RunEnd(1, run(0, 1), Cause.DONE, ""));
      book.shown(JOB, "completed", NODE);
      assertViolation("only these tasks have ended");
    }

    @Test
    void seesAFinalStateThatChanges() {
      book.shown(JOB, "failed", NODE);
      book.shown(JOB, "running", NODE);
      assertViolation("was shown as failed and then as running");
    }

    @Test
    void seesAnotherAnswerOfAnotherNode() {
      book.shown(JOB, "failed", NODE);
      book.shown(JOB, "gone", "node1");
      assertViolation("failed and then as gone (by node0, then by node1)");
    }

    @Test
    void comparesEveryAnswerWithTheFinalOne() {
      book.answered(JOB, 200, false);
      book.shown(JOB, "failed", NODE);
      book.shown(JOB, "running", "node1");
      book.shown(JOB, "running", "node2");
      assertEquals(2, book.violations().size(), book.violations()::toString);
    }

    @Test
    void seesAJobThatNobodyCancelled() {
      book.shown(JOB, "cancelled", NODE);
      assertViolation("nobody cancelled it");
    }
  }

  @Nested
  final class IdleCapacity {
    private static final long LOAD_END_MS = 10_000;
    private static final long APPLIES_MS = LOAD_END_MS + IdleCapacityCheck.AFTER_LOAD_MS;

    private final PoolSimulation pool =
        new PoolSimulation(1, SchedulingPolicy.STANDARD, new PoolSimulation.Observer() {});

    IdleCapacity() {
      pool.addWorkers(2, 2, new Resources(8, 32_000, 64_000), 1);
      book.answered(JOB, 200, false);
    }

    private void check(long nowMs, RunName... running) {
      book.checkIdleCapacity(List.of(running), pool.workers(), LOAD_END_MS, nowMs);
    }

    @Test
    void seesAJobThatStandsStillBesideIt() {
      check(APPLIES_MS);
      check(APPLIES_MS + 3_001);
      check(APPLIES_MS + 4_000);
      assertViolation(JOB + " has run nothing for 3001 ms");
    }

    @Test
    void allowsAJobThatRuns() {
      check(APPLIES_MS, run(0, 1));
      check(APPLIES_MS + 3_001, run(0, 1));
      assertEquals(List.of(), book.violations());
    }

    @Test
    void allowsAJobThatWaitsSoonAfterTheLoadOrAFault() {
      check(APPLIES_MS - 1);
      check(APPLIES_MS);
      book.disturbed(APPLIES_MS + 1_000);
      check(APPLIES_MS + 3_001);
      assertEquals(List.of(), book.violations());
    }

    @Test
    void countsHowLongNothingRanAlsoSoonAfterTheLoad() {
      check(LOAD_END_MS);
      check(LOAD_END_MS + 700);
      check(LOAD_END_MS + 900, run(0, 1));
      check(LOAD_END_MS + 5_000);
      check(LOAD_END_MS + 5_200, run(0, 1));
      assertEquals(900, book.counts().get("nothing ran ms"));
    }
  }
}
