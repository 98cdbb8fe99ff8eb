package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobPhase;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against overload that feeds itself: an owner makes more calls at a time than its processor
 * can serve within their limits, and makes them again.
 */
final class CostlyCallsTest {
  private static final int JOBS = 40;
  private static final int TASKS_EACH = 15;
  private static final int TASKS = JOBS * TASKS_EACH;
  private static final long TASK_MS = 4_000;

  /** Time for which a job may run nothing beside idle capacity, by the platform's rule LOST. */
  private static final long STANDSTILL_MS = 3_000;

  private final SchedulerRig rig =
      new SchedulerRig(1).workers(350, 20, new Resources(8, 32_000, 64_000)).guarantee("own", 64);

  private void own(long callCostMicros) {
    rig.pool.transport().setCallCostMicros(callCostMicros);
    rig.pool.takeOver();
    rig.run(5_000);
  }

  /** Submits 600 tasks, which most of the workers could run at once. */
  private void submitQueue() {
    for (int i = 0; i < JOBS; i++) {
      rig.submit("job" + i, 1, TASK_MS, SchedulerRig.tasks(TASKS_EACH, 1));
    }
  }

  private long count(String text) {
    return rig.pool.decisions().stream().filter(line -> line.contains(text)).count();
  }

  private void assertAllCompleted() {
    rig.assertAllFinal();
    assertEquals(rig.pool.jobs().size(), rig.completed());
  }

  /** The orders of a queue take longer than the limit of an order. */
  @Nested
  final class BurstOfStarts {
    @Test
    void eachTaskStartsOnceAndInTime() {
      own(2_000);
      submitQueue();
      rig.run(STANDSTILL_MS);
      assertEquals(TASKS, rig.starts);
      rig.run(3 * TASK_MS);
      assertAllCompleted();
      assertEquals(TASKS, rig.starts);
      assertEquals(0, count(" stop run="));
    }

    @Test
    void everyJobBeginsInTimeWhereCallsTakeLonger() {
      own(3_000);
      submitQueue();
      rig.run(STANDSTILL_MS);
      for (int i = 0; i < JOBS; i++) {
        String job = "job" + i;
        assertTrue(rig.hasStarted(job), () -> job + rig.decisionsAbout(job));
      }
      rig.run(20_000);
      assertAllCompleted();
      assertEquals(TASKS, rig.starts);
    }

    @Test
    void workersAreNotPausedForTheLoadOfTheOwner() {
      own(3_000);
      submitQueue();
      rig.run(STANDSTILL_MS);
      assertEquals(0, count(" reason=NOT_SENT"));
      assertEquals(0, count(" worker_is=paused"));
    }

    @Test
    void aGuaranteeIsKept() {
      own(3_000);
      submitQueue();
      rig.run(200);
      rig.submitTo("own", "urgent", 0, TASK_MS, SchedulerRig.tasks(8, 8));
      rig.run(1_500); // The rig asserts 2,900 ms.
      assertEquals(8, rig.startsOf("urgent"), () -> rig.decisionsAbout("urgent"));
    }

    @Test
    void membersOfGangsStartTogether() {
      own(3_000);
      for (int i = 0; i < 10; i++) {
        rig.submit("job" + i, 1, TASK_MS, SchedulerRig.tasks(30, 1));
        rig.submit("gang" + i, 1, TASK_MS, SchedulerRig.gang(40, 2));
      }
      rig.run(30_000); // The rig asserts that no gang waits in vain for members.
      assertAllCompleted();
      assertEquals(10 * 30 + 10 * 40, rig.starts);
    }

    @Test
    void ordersThatWaitAreDroppedWithTheirJobOrWorker() {
      own(3_000);
      submitQueue();
      rig.run(200);
      String waiting = "job" + (JOBS - 1);
      assertEquals(0, rig.startsOf(waiting));
      rig.pool.cancel(waiting);
      for (int i = 0; i < 350; i++) {
        rig.drain("w" + i);
      }
      rig.run(400);
      int started = rig.starts;
      rig.run(20_000);
      assertEquals(started, rig.starts);
      assertEquals(JobPhase.CANCELLED, rig.phase(waiting));
      assertTrue(count(" worker_is=draining") > TASKS / 3, () -> rig.pool.describe());
    }
  }

  /** A new owner asks all workers for lists and starts what waits. */
  @Nested
  final class Takeover {
    @Test
    void allWorkersAreAdoptedWithoutAFailedCall() {
      own(4_000);
      assertEquals(0, count("worker silent"));
    }

    @Test
    void aQueueStartsInTime() {
      own(3_000);
      submitQueue();
      rig.run(2_000);
      rig.pool.takeOver();
      rig.run(2 * STANDSTILL_MS);
      for (int i = 0; i < JOBS; i++) {
        String job = "job" + i;
        assertTrue(rig.hasStarted(job), () -> job + rig.decisionsAbout(job));
      }
      rig.run(30_000);
      assertAllCompleted();
    }
  }

  /** A bound must not slow down a pool that answers. */
  @Nested
  final class Healthy {
    @Test
    void aBurstOf300StartsIsAnsweredInTime() {
      own(900);
      for (int i = 0; i < 20; i++) {
        rig.submit("job" + i, 1, TASK_MS, SchedulerRig.tasks(15, 1));
      }
      rig.run(500);
      assertEquals(300, rig.starts);
      assertEquals(0, count("start unanswered"));
    }

    @Test
    void aLargerBurstGoesOutWithTheFirstAnswers() {
      own(0);
      submitQueue();
      rig.run(150); // 30 ms for the commit, and 20 ms for each way.
      assertEquals(TASKS, rig.starts);
    }

    @Test
    void silentWorkersDoNotStopTheStartsOfOthers() {
      own(0);
      int silent = 40;
      for (int i = 0; i < silent; i++) {
        rig.worker("w" + i).setUnreachable(true);
      }
      for (int i = 0; i < JOBS; i++) {
        rig.submit("job" + i, 1, TASK_MS, SchedulerRig.tasks(TASKS_EACH, 4));
        rig.run(50);
      }
      rig.run(150); // 30 ms for the commit, and 20 ms for each way.
      int placedThere = 2 * silent;
      assertTrue(rig.starts >= TASKS - placedThere, () -> rig.starts + " starts");
    }
  }
}
