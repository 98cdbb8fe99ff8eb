package dev.bambootray.standins.jobs;

import static dev.bambootray.standins.jobs.SchedulerRig.gang;
import static dev.bambootray.standins.jobs.SchedulerRig.tasks;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests crashes of workers, caused by a task or by something else. */
final class WorkerCrashTest {
  /** The platform allows two further starts after so many crashes. */
  private static final int MAX_CRASHES = 3;

  private static final int PLATFORM_MAX_CRASHES = MAX_CRASHES + 2;

  private final SchedulerRig rig = SchedulerRig.owned(12, 4, 0);

  private void assertGivenUpWithin(int crashes) {
    assertEquals(JobPhase.FAILED, rig.phase("deadly"), () -> rig.decisionsAbout("deadly"));
    assertTrue(
        rig.crashes() <= crashes,
        () -> "crashed workers: " + rig.crashes() + rig.decisionsAbout("deadly"));
  }

  private void assertCompleted(String job) {
    assertEquals(JobPhase.COMPLETED, rig.phase(job), () -> rig.decisionsAbout(job));
  }

  @Nested
  final class CausedByATask {
    @Test
    void oneTaskDoesNotCrashWorkerAfterWorker() {
      rig.submit("bystander", 1, 6_000, tasks(40, 1));
      rig.run(500);
      rig.submitDeadly("deadly", tasks(4, 1));
      rig.run(60_000);
      assertGivenUpWithin(MAX_CRASHES);
      assertCompleted("bystander");
    }

    @Test
    void isGivenUpAfterASecondCrashThatTakesNoOtherTaskAlong() {
      rig.submit("bystander", 1, 6_000, tasks(93, 1));
      rig.run(2_000);
      rig.submitDeadly("deadly", tasks(1, 1));
      rig.run(60_000);
      assertGivenUpWithin(2);
      assertCompleted("bystander");
    }

    @Test
    void isGivenUpThoughTheOwnerChangesAfterEachCrash() {
      rig.submit("bystander", 1, 6_000, tasks(40, 1));
      rig.submitDeadly("deadly", tasks(1, 1));
      for (int i = 0; i < 20; i++) {
        rig.run(4_600);
        rig.pool.takeOver();
      }
      assertGivenUpWithin(MAX_CRASHES);
      assertCompleted("bystander");
    }

    @Test
    void isGivenUpThoughItsWorkersKeepTheirIdentifiers() {
      rig.pool.crashes().keepIdentifiers();
      rig.submit("bystander", 1, 6_000, tasks(40, 1));
      rig.run(500);
      rig.submitDeadly("deadly", tasks(4, 1));
      rig.run(60_000);
      assertGivenUpWithin(MAX_CRASHES);
      assertCompleted("bystander");
    }

    @Test
    void isGivenUpThoughOwnersChangeAndItsWorkersKeepTheirIdentifiers() {
      rig.pool.crashes().keepIdentifiers();
      rig.submitDeadly("deadly", tasks(1, 1));
      for (int i = 0; i < 20; i++) {
        rig.run(1_500);
        rig.pool.takeOver();
        rig.run(3_100);
      }
      assertGivenUpWithin(PLATFORM_MAX_CRASHES);
    }

    @Test
    void isGivenUpAsAMemberOfAGang() {
      rig.submit("bystander", 1, 6_000, tasks(40, 1));
      rig.submitDeadly("deadly", gang(4, 2));
      rig.run(60_000);
      assertGivenUpWithin(MAX_CRASHES);
      assertCompleted("bystander");
    }

    @Test
    void isGivenUpOnAPoolThatIsNeverIdle() {
      // Every worker runs something until the end, so that none becomes empty by itself.
      rig.submit(
          "lasting",
          1,
          50_000,
          StepSpec.builder(12, new Resources(4, 2_000, 1_000))
              .estimateMs(50_000)
              .maxPerWorker(1)
              .build());
      rig.run(500);
      rig.submitDeadly("deadly", tasks(1, 1));
      rig.run(90_000);
      assertGivenUpWithin(PLATFORM_MAX_CRASHES);
      assertCompleted("lasting");
    }
  }

  @Nested
  final class CausedBySomethingElse {
    private void crash(int first, int count) {
      List<String> up =
          rig.pool.workers().stream()
              .filter(worker -> !worker.isGone())
              .map(worker -> worker.entry().id())
              .toList();
      up.subList(first, first + count).forEach(id -> rig.pool.crashes().crash(rig.worker(id)));
    }

    @Test
    void keepsTasksOfWorkersThatAreLostTogether() {
      for (int i = 0; i < 6; i++) {
        rig.submit("job" + i, 1, 9_000, tasks(16, 1));
      }
      for (int i = 0; i < 5; i++) {
        rig.run(6_000);
        crash(0, 6);
      }
      rig.run(60_000);
      rig.pool.jobs().forEach(job -> assertCompleted(job.id()));
    }

    @Test
    void keepsTasksOfWorkersThatAreLostOneByOne() {
      rig.submit("a", 1, 6_000, tasks(48, 1));
      rig.submit("b", 1, 6_000, tasks(48, 1));
      for (int i = 0; i < 4; i++) {
        rig.run(2_500);
        crash(i, 1);
      }
      rig.run(60_000);
      assertCompleted("a");
      assertCompleted("b");
    }

    @Test
    void keepsTasksOfAWorkerThatWasCutOff() {
      rig.submit("job", 1, 6_000, tasks(4, 1));
      for (int i = 0; i < 3; i++) {
        rig.run(1_000);
        List<SimulatedPoolWorker> busy =
            rig.pool.workers().stream().filter(worker -> !worker.runs().isEmpty()).toList();
        busy.forEach(worker -> worker.setUnreachable(true));
        rig.run(9_000);
        busy.forEach(worker -> worker.setUnreachable(false));
      }
      rig.run(30_000);
      assertCompleted("job");
      assertFalse(rig.decisionsAbout("job").contains("crashed run"));
    }
  }

  @Test
  void isNoticedThoughTheMachineIsBusyAgain() {
    SchedulerRig two = SchedulerRig.owned(2, 2, 0);
    two.submit("lost", 1, 8_000, tasks(2, 8));
    two.run(1_000);
    two.submit("waiting", 1, 20_000, tasks(1, 8));
    two.pool.crashes().crash(two.worker("w0"));
    two.run(5_500);
    assertTrue(
        two.decisionsAbout("lost").contains("why=the worker has restarted"),
        () -> two.decisionsAbout("lost"));
  }

  /** Workers end while they are idle, and others answer at their addresses. */
  /** The registry lists a worker for some seconds after another one has its address. */
  @Test
  void aReplacedWorkerIsAskedOnce() {
    rig.submit("job", 1, 6_000, tasks(96, 1));
    rig.run(500);
    rig.pool.crashes().replaceBeforeUnlisting(rig.worker("w0"));
    rig.run(3_500);
    List<String> notices =
        rig.pool.decisions().stream().filter(line -> line.contains("w0 worker restarted")).toList();
    assertEquals(1, notices.size(), notices::toString);
  }

  @Nested
  final class WithoutARun {
    @Test
    void jobsWhoseOrdersReachedOtherWorkersAreNotGivenUp() {
      for (int i = 0; i < 4; i++) {
        List.copyOf(rig.pool.workers()).stream()
            .filter(worker -> !worker.isGone() && worker.runs().isEmpty())
            .forEach(rig.pool.crashes()::replaceBeforeUnlisting);
        if (i == 0) {
          rig.submit("job", 1, 6_000, tasks(1, 8));
        }
        rig.run(70);
      }
      rig.run(20_000);
      assertCompleted("job");
      assertEquals(0, rig.crashes());
    }
  }
}
