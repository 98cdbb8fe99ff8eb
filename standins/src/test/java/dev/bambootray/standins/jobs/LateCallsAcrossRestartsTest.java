package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests orders and answers that are on their way while a worker restarts under its identifier. */
final class LateCallsAcrossRestartsTest {
  private static final int WORKERS = 4;

  /** Time from a submission until the start orders are sent. */
  private static final long ORDERED_MS = 30;

  private final SchedulerRig rig = SchedulerRig.owned(WORKERS, WORKERS, 0);

  /** The next process has not seen the stop, so that a late order would start the run there. */
  @Test
  void aStopConfirmedByThePreviousProcessDoesNotEndARunWhoseOrderIsOnItsWay() {
    rig.pool.delayNextStartOrders(WORKERS - 1, 220);
    rig.submit("job", 1, 1_000, gangWithRoomBeside());
    rig.run(ORDERED_MS);
    rig.pool.crashes().replaceBeforeUnlisting(rig.worker("w3"));
    rig.run(80);
    List.of("w0", "w1", "w2").forEach(id -> rig.pool.restart(id, 0, 10));
    rig.run(10_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
  }

  private static StepSpec gangWithRoomBeside() {
    return StepSpec.builder(WORKERS, new Resources(4, 2_000, 1_000))
        .estimateMs(1_000)
        .gang(true)
        .maxPerWorker(1)
        .build();
  }
}
