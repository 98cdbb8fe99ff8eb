package dev.bambootray.standins.jobs;

import static dev.bambootray.standins.jobs.SchedulerRig.gang;
import static dev.bambootray.standins.jobs.SchedulerRig.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.model.JobPhase;
import org.junit.jupiter.api.Test;

/** Tests start orders that workers do not answer. */
final class StartRetrierTest {
  @Test
  void startsEachTaskOnceWhenAnswersAreLost() {
    // Guards against stopping a gang after one unanswered start order and starting it elsewhere.
    SchedulerRig rig = SchedulerRig.owned(16, 8, 0);
    rig.pool.transport().setDelayedCallShare(0.3);
    for (int i = 0; i < 20; i++) {
      rig.submit("job" + i, 1, 700, i % 2 == 0 ? tasks(4, 1) : gang(3, 4));
      rig.run(600);
    }
    rig.run(10_000);
    rig.assertAllFinal();
    int expected = 10 * 4 + 10 * 3;
    assertTrue(
        rig.starts <= expected * 1.1, () -> rig.starts + " starts for " + expected + " tasks");
  }

  @Test
  void keepsAnUnconfirmedRunThatTheWorkerLists() {
    SchedulerRig rig = SchedulerRig.owned(2, 8, 0);
    rig.pool.transport().loseNextStartAnswers(2);
    rig.submit("a", 1, 2_000, gang(2, 8));
    rig.run(4_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("a"));
    assertEquals(2, rig.starts);
  }

  @Test
  void restartsAGangWhenOneWorkerStaysUnreachable() {
    SchedulerRig rig = SchedulerRig.owned(4, 8, 0);
    rig.worker("w0").setUnreachable(true);
    rig.submit("a", 1, 1_000, gang(3, 8));
    rig.run(20_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("a"));
  }

  @Test
  void doesNotRepeatAnOrderThatWasCarriedOut() {
    SchedulerRig rig = SchedulerRig.owned(2, 8, 0);
    rig.pool.transport().loseNextStartAnswers(1);
    rig.submit("a", 1, 2_000, tasks(1, 8));
    rig.run(4_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("a"));
    assertEquals(0, repeatedOrders(rig));
  }

  @Test
  void repeatsAnOrderThatDidNotArrive() {
    SchedulerRig rig = SchedulerRig.owned(1, 8, 0);
    rig.worker("w0").setUnreachable(true);
    rig.submit("a", 1, 1_000, tasks(1, 8));
    rig.run(100);
    rig.worker("w0").setUnreachable(false);
    rig.run(3_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("a"), () -> rig.decisionsAbout("a"));
    assertEquals(1, repeatedOrders(rig), () -> rig.decisionsAbout("a"));
  }

  private static long repeatedOrders(SchedulerRig rig) {
    return rig.pool.decisions().stream().filter(line -> line.contains(" repeat start ")).count();
  }
}
