package dev.bambootray.standins.jobs;

import static dev.bambootray.standins.jobs.SchedulerRig.gang;
import static dev.bambootray.standins.jobs.SchedulerRig.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.model.JobPhase;
import org.junit.jupiter.api.Test;

/** Tests reservations of gangs while workers leave and other gangs reserve resources too. */
final class ReservationsTest {
  @Test
  void keepsRemainingPlacesWhenOneOfItsWorkersLeaves() {
    // Guards against dropping the whole reservation and stopping more runs for all its members.
    SchedulerRig rig = SchedulerRig.owned(12, 12, 64);
    rig.submit("long", 2, 60_000, tasks(96, 1));
    rig.run(1_000);
    rig.submit("urgent", 0, 1_000, gang(6, 8));
    rig.run(40);
    rig.drain(rig.workerToBeFreed());
    rig.run(2_500);
    assertTrue(rig.hasStarted("urgent"));
    long stopped = rig.stops("reclaimed");
    assertTrue(stopped <= 7 * 8, () -> stopped + " runs stopped for 6 workers of 8");
  }

  @Test
  void doesNotReclaimPlacesReservedForAnotherStep() {
    // Guards against reservations that applied only from the turn of their step in a round, so that
    // steps before it used the reserved places.
    SchedulerRig rig = SchedulerRig.owned(8, 8, 64);
    rig.submit("long", 2, 60_000, tasks(64, 1));
    rig.run(1_000);
    for (int i = 0; i < 4; i++) {
      rig.submit("urgent" + i, 0, 3_000, gang(2, 8));
      rig.run(100);
    }
    rig.run(2_000);
    for (int i = 0; i < 4; i++) {
      assertTrue(rig.hasStarted("urgent" + i), "urgent" + i);
    }
    assertEquals(64, rig.stops("reclaimed"));
  }

  @Test
  void waitsLongerAfterEachFailedReclaim() {
    SchedulerRig rig = SchedulerRig.owned(16, 16, 64);
    rig.submit("long", 2, 60_000, tasks(128, 1));
    rig.run(1_000);
    rig.submit("urgent", 0, 1_000, gang(4, 8));
    // Each time one of the workers is freed for the gang, it leaves.
    for (int i = 0; i < 10; i++) {
      rig.run(300);
      rig.drain(rig.workerToBeFreed());
    }
    rig.run(10_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("urgent"), () -> rig.decisionsAbout("urgent"));
    long stopped = rig.stops("reclaimed");
    assertTrue(stopped <= 12 * 8, () -> stopped + " runs stopped");
  }
}
