package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests workers that restart under their identifier, which the owner learns of late. */
final class WorkerRestartTest {
  private static final int WORKERS = 4;
  private static final long TASK_MS = 2_000;

  private final SchedulerRig rig = SchedulerRig.owned(WORKERS, WORKERS, 0);

  private void restartAll(long downMs, long registeredAfterMs) {
    for (SimulatedPoolWorker worker : List.copyOf(rig.pool.workers())) {
      rig.pool.restart(worker.entry().id(), downMs, registeredAfterMs);
    }
  }

  private void assertCompletesWithStarts(int starts) {
    rig.run(25_000);
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
    assertEquals(starts, rig.starts, () -> rig.decisionsAbout("job"));
  }

  /** An idle worker is given work between its restart and the time at which the owner learns it. */
  @Nested
  final class OfIdleWorkers {
    @Test
    void keepsAConfirmedRunOfTheNewProcess() {
      restartAll(0, 100);
      rig.submit("job", 1, TASK_MS, SchedulerRig.tasks(1, 8));
      assertCompletesWithStarts(1);
    }

    @Test
    void keepsARunWhoseStartIsNotConfirmedYet() {
      restartAll(0, 60);
      rig.submit("job", 1, TASK_MS, SchedulerRig.tasks(1, 8));
      assertCompletesWithStarts(1);
    }

    @Test
    void keepsAGangOfTheNewProcesses() {
      restartAll(0, 100);
      rig.submit("job", 1, TASK_MS, SchedulerRig.gang(WORKERS, 8));
      assertCompletesWithStarts(WORKERS);
    }
  }

  @Nested
  final class OfBusyWorkers {
    @Test
    void startsLostRunsAgainSoonAfterTheRestartIsRegistered() {
      rig.submit("job", 1, TASK_MS, SchedulerRig.tasks(WORKERS, 8));
      rig.run(1_000);
      restartAll(0, 100);
      rig.run(600);
      assertEquals(2 * WORKERS, rig.starts, () -> rig.decisionsAbout("job"));
      assertCompletesWithStarts(2 * WORKERS);
    }

    @Test
    void startsLostRunsAgainSoonAfterAListShowsTheRestart() {
      rig.submit("job", 1, TASK_MS, SchedulerRig.tasks(WORKERS, 8));
      rig.run(1_000);
      restartAll(0, 60_000);
      rig.run(2_000);
      assertEquals(2 * WORKERS, rig.starts, () -> rig.decisionsAbout("job"));
      assertCompletesWithStarts(2 * WORKERS);
    }
  }

  /** Another writer changes the entry of a worker that goes on. */
  @Nested
  final class OfTheEntryOnly {
    private void listAll(UnaryOperator<WorkerEntry> change) {
      for (SimulatedPoolWorker worker : List.copyOf(rig.pool.workers())) {
        rig.pool.post(new JobEvent.WorkerListed(change.apply(worker.entry())));
      }
    }

    private static WorkerEntry withLatestStart(WorkerEntry entry) {
      return new WorkerEntry(
          entry.id(),
          entry.service(),
          entry.address(),
          entry.zone(),
          entry.rack(),
          entry.labels(),
          entry.capacity(),
          Long.MAX_VALUE,
          false);
    }

    @Test
    void keepsRunsWhoseEntryShowsAWrongStart() {
      rig.submit("job", 1, TASK_MS, SchedulerRig.tasks(WORKERS, 8));
      rig.run(1_000);
      listAll(OfTheEntryOnly::withLatestStart);
      rig.run(200);
      listAll(OfTheEntryOnly::withLatestStart);
      assertCompletesWithStarts(WORKERS);
    }

    @Test
    void keepsRunsWhileTheEntryNamesNoWorkerAndUsesTheWorkerAfterwards() {
      rig.submit("job", 1, TASK_MS, SchedulerRig.tasks(WORKERS, 8));
      rig.run(1_000);
      rig.pool.workers().forEach(w -> rig.pool.post(new JobEvent.WorkerUnlisted(w.entry().id())));
      rig.submit("later", 1, TASK_MS, SchedulerRig.tasks(WORKERS, 8));
      rig.run(5_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
      assertFalse(rig.hasStarted("later"));
      listAll(entry -> entry);
      rig.run(5_000);
      assertEquals(JobPhase.COMPLETED, rig.phase("later"), () -> rig.decisionsAbout("later"));
      assertEquals(2 * WORKERS, rig.starts);
    }
  }

  @Test
  void handlesTheEndsOfANewProcessThatCountsThemFromOne() {
    rig.submit("before", 1, TASK_MS, SchedulerRig.tasks(4 * WORKERS, 2));
    rig.run(5_000);
    restartAll(0, 60_000);
    rig.submit("job", 1, 30, SchedulerRig.tasks(WORKERS, 8));
    rig.run(5_000);
    assertEquals(5 * WORKERS, rig.starts, () -> rig.decisionsAbout("job"));
    assertEquals(JobPhase.COMPLETED, rig.phase("job"), () -> rig.decisionsAbout("job"));
  }

  @Test
  void waitsForTheLeaseThatANewProcessGrantsByItsOwnClock() {
    rig.run(15_000); // Longer than the lease that an owner assumes for runs of the one before.
    restartAll(0, 60_000);
    rig.submit("job", 1, 8_500, SchedulerRig.tasks(1, 8));
    rig.run(60);
    rig.pool.workers().stream()
        .filter(worker -> !worker.runs().isEmpty())
        .forEach(worker -> worker.setUnreachable(true));
    assertCompletesWithStarts(2);
  }
}
