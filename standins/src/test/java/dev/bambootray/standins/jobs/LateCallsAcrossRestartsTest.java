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
    rig.pool.transport().delayNextStartOrders(WORKERS - 1, 220);
    rig.submit("job", 1, 1_000, gangWithRoomBeside());
    rig.run(ORDERED_MS);
    rig.pool.crashes().replaceBeforeUnlisting(rig.worker("w3"));
    rig.run(80);
    List.of("w0", "w1", "w2").forEach(id -> rig.pool.restart(id, 0, 10));
    rig.run(10_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
  }

  /** The order is repeated while a list already shows the run, and its worker restarts then. */
  @Test
  void aListedRunIsNotLostWhileAnOrderToStartItIsOnItsWay() {
    rig.pool.transport().loseNextStartAnswers(1);
    rig.submit("job", 1, 2_000, SchedulerRig.tasks(1, 2));
    rig.run(ORDERED_MS + 100);
    rig.pool.transport().delayNextStartOrders(1, 250);
    rig.run(240);
    assertEquals(1, busyWorkers().size());
    busyWorkers().forEach(worker -> rig.pool.restart(worker.entry().id(), 0, 10));
    rig.run(10_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
  }

  /** The run has ended before its worker restarts, so that no stop guards the next process. */
  @Test
  void aFinishedTaskIsNotStartedByAnOrderThatIsStillOnItsWay() {
    rig.pool.transport().loseNextStartAnswers(1);
    rig.submit("job", 1, 350, SchedulerRig.tasks(1, 2));
    rig.run(ORDERED_MS + 100);
    SimulatedPoolWorker worker = busyWorkers().get(0);
    rig.pool.transport().delayNextStartOrders(1, 250);
    rig.run(390);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
    rig.pool.restart(worker.entry().id(), 0, 10);
    rig.run(5_000);
    assertEquals(1, rig.starts);
  }

  /** The next process has not seen the epoch of the new owner, whose first list was too early. */
  @Test
  void anOrderOfThePreviousOwnerDoesNotStartATaskThatTheNewOwnerHasPlacedAgain() {
    rig.pool.transport().delayNextStartOrders(1, 250);
    rig.submit("job", 1, 2_000, SchedulerRig.tasks(1, 2));
    rig.run(ORDERED_MS + 10);
    String worker = orderedWorker("job");
    rig.pool.takeOver();
    rig.drain(worker);
    rig.run(240);
    rig.pool.restart(worker, 0, 10);
    rig.run(10_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
  }

  private String orderedWorker(String job) {
    String line =
        rig.pool.decisions().stream()
            .filter(decision -> decision.contains(" " + job + " place "))
            .findFirst()
            .orElseThrow();
    return line.replaceAll(".*workers=\\[(\\w+)\\].*", "$1");
  }

  private List<SimulatedPoolWorker> busyWorkers() {
    return rig.pool.workers().stream().filter(worker -> !worker.runs().isEmpty()).toList();
  }

  private static StepSpec gangWithRoomBeside() {
    return StepSpec.builder(WORKERS, new Resources(4, 2_000, 1_000))
        .estimateMs(1_000)
        .gang(true)
        .maxPerWorker(1)
        .build();
  }
}
