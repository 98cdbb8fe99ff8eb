package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.scheduling.JobEffect;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests hold calls that are on their way while their worker restarts under its identifier. */
final class LateHoldTest {
  private static final long NOT_REGISTERED_MS = 60_000;

  private void restart(SchedulerRig rig, String worker) {
    rig.pool.restart(worker, 0, NOT_REGISTERED_MS);
  }

  @Test
  void acknowledgesNoEndsOfTheNextProcessUnseen() {
    // The call acknowledges end 1 of the previous process; the next one has ended a run as number
    // 1 before the call arrives, and the finished task started again.
    SchedulerRig rig = SchedulerRig.owned(1, 1, 0);
    rig.pool.transport().delayNextHold(hold -> hold.acknowledged() > 0, 500);
    rig.submit("before", 1, 30, SchedulerRig.tasks(1, 8));
    while (rig.phase("before") != JobPhase.COMPLETED) {
      rig.run(10);
    }
    restart(rig, "w0");
    rig.submit("job", 1, 30, SchedulerRig.tasks(1, 8));
    rig.run(5_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
    assertEquals(2, rig.starts, () -> rig.decisionsAbout("job"));
  }

  @Test
  void extendsNoLeaseOfTheNextProcess() {
    // The call extends the lease by the clock of the previous process. At the next one, which is
    // cut off from the owner then, the run outlived the lease that the owner assumed.
    SchedulerRig rig = SchedulerRig.owned(2, 2, 0);
    rig.run(15_000); // Longer than the lease that an owner assumes for runs of the one before.
    rig.submit("other", 1, 9_000, SchedulerRig.tasks(1, 8));
    rig.submit("before", 1, 60_000, SchedulerRig.tasks(1, 4));
    rig.run(2_000);
    String worker = rig.workerOf("before");
    List<JobEffect.HoldWorker> delayed = new ArrayList<>();
    rig.pool
        .transport()
        .delayNextHold(
            hold -> hold.worker().id().equals(worker) && hold.untilMs() > 0 && delayed.add(hold),
            1_200);
    while (delayed.isEmpty()) {
      rig.run(10);
    }
    restart(rig, worker);
    rig.submit("job", 1, 11_000, SchedulerRig.tasks(1, 4));
    rig.run(1_300);
    assertEquals(worker, rig.workerOf("job"));
    rig.worker(worker).setUnreachable(true);
    rig.run(30_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
  }

  /** A worker closes its connections, although its process goes on. */
  @Nested
  final class WithClosedConnections {
    private final SchedulerRig rig = SchedulerRig.owned(1, 1, 0);

    private void assertCompletesUndisturbed() {
      assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
      assertEquals(1, rig.starts, () -> rig.decisionsAbout("job"));
      assertFalse(rig.pool.decisions().stream().anyMatch(line -> line.contains("worker silent")));
    }

    @Test
    void asksForAListAtOnceInsteadOfTakingTheWorkerForSilent() {
      List<JobEffect.HoldWorker> sent = new ArrayList<>();
      rig.submit("job", 1, 3_000, SchedulerRig.tasks(1, 8));
      rig.run(1_000);
      rig.pool.transport().closeConnectionsAfterLists(1);
      rig.pool.transport().delayNextHold(hold -> sent.add(hold) && sent.size() > 100, 0);
      rig.run(1_300);
      assertEquals(0, sent.get(0).connection());
      assertEquals(0, sent.get(0).untilMs());
      assertEquals(0, sent.get(0).waitMs());
      assertNotEquals(0, sent.get(1).connection());
      assertNotEquals(0, sent.get(1).untilMs());
      rig.run(3_000);
      assertCompletesUndisturbed();
    }

    @Test
    void extendsLeasesOfAWorkerThatClosesThemAfterEachList() {
      rig.pool.transport().closeConnectionsAfterLists(Integer.MAX_VALUE);
      rig.submit("job", 1, 15_000, SchedulerRig.tasks(1, 8));
      rig.run(17_000);
      assertCompletesUndisturbed();
    }
  }
}
