package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.scheduling.SchedulingPolicy;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Each test shows one condition of the rule. */
final class IdleCapacityCheckTest {
  private static final Resources CAPACITY = new Resources(8, 32_000, 64_000);
  private static final StepSpec SINGLES = SchedulerRig.tasks(3, 8);

  private final PoolSimulation pool =
      new PoolSimulation(1, SchedulingPolicy.STANDARD, new PoolSimulation.Observer() {});
  private final IdleCapacityCheck check = new IdleCapacityCheck();

  IdleCapacityCheckTest() {
    pool.addWorkers(4, 4, CAPACITY, 1);
  }

  private List<String> check(long nowMs, StepSpec... steps) {
    return check.check(nowMs, WaitingStep.of("job", List.of(steps), task -> false), pool.workers());
  }

  @Test
  void findsAJobThatStandsStillForTooLong() {
    assertEquals(List.of(), check(0, SINGLES));
    assertEquals(List.of(), check(3_000, SINGLES));
    assertTrue(check(3_001, SINGLES).get(0).contains("3 tasks of step 0"));
  }

  @Test
  void allowsAJobThatMovesInBetween() {
    assertEquals(List.of(), check(0, SINGLES));
    assertEquals(List.of(), check(2_000));
    assertEquals(List.of(), check(3_001, SINGLES));
  }

  @Test
  void allowsWhatDoesNotFitTwice() {
    StepSpec gang = SchedulerRig.gang(3, 8);
    assertEquals(List.of(), check(0, gang));
    assertEquals(List.of(), check(3_001, gang));
  }

  @Test
  void allowsAStepForAnotherLabel() {
    StepSpec other = StepSpec.builder(1, CAPACITY).requiredLabel("absent").build();
    assertEquals(List.of(), check(0, other));
    assertEquals(List.of(), check(3_001, other));
  }

  @Test
  void allowsAPoolThatIsHalfInUse() {
    SchedulerRig rig = SchedulerRig.owned(4, 4, 0);
    rig.submit("other", 1, 10_000, SchedulerRig.tasks(2, 8));
    rig.run(1_000);
    List<WaitingStep> waiting = WaitingStep.of("job", List.of(SINGLES), task -> false);
    assertEquals(List.of(), check.check(0, waiting, rig.pool.workers()));
    assertEquals(List.of(), check.check(3_001, waiting, rig.pool.workers()));
  }

  @Nested
  final class Steps {
    private final List<StepSpec> two =
        List.of(
            SchedulerRig.gang(2, 1),
            StepSpec.builder(2, new Resources(1, 1, 1)).after(List.of(0)).build());

    @Test
    void waitOnlyOnceTheirTurnHasCome() {
      List<WaitingStep> waiting = WaitingStep.of("job", two, task -> false);
      assertEquals(List.of(0), waiting.stream().map(WaitingStep::number).toList());
    }

    @Test
    void followAGangOfWhichOneMemberHasEnded() {
      Set<TaskName> done = Set.of(new TaskName("job", 0, 0, 1), new TaskName("job", 0, 1, 0));
      assertEquals(
          List.of(new WaitingStep("job", 1, two.get(1), 1)),
          WaitingStep.of("job", two, done::contains));
    }
  }
}
