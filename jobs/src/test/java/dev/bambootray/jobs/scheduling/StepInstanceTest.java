package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.JobSpec.Schedule;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskRecord.State;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StepInstanceTest {
  private static final long ACCEPTED_MS = 1_000;
  private static final long HEARD_MS = 1_800;

  private static StepInstance step(Schedule schedule) {
    JobSpec spec =
        new JobSpec(
            "job",
            "ws",
            "t",
            "s",
            "p",
            List.of(StepSpec.builder(2, new Resources(1, 1, 1)).gang(true).build()),
            new JobSpec.Objective(0, 1, 1, 1),
            schedule,
            ACCEPTED_MS);
    return Job.of(spec, null, at(HEARD_MS)).openSteps().get(0);
  }

  private static EventTime at(long ms) {
    return new EventTime(ms, ms);
  }

  @Nested
  final class Waiting {
    @Test
    void beginsWithTheAcceptance() {
      StepInstance step = step(Schedule.ONCE);
      step.becomeReady(at(HEARD_MS));
      assertEquals(ACCEPTED_MS, step.waitingSinceMs());
    }

    @Test
    void beginsWhenAnOccurrenceIsDue() {
      StepInstance step = step(new Schedule(1, 1_500, 0));
      step.becomeReady(at(HEARD_MS));
      assertEquals(1_500, step.waitingSinceMs());
    }

    /** Guards against a wait that starts anew for a gang of which only one member has started. */
    @Test
    void continuesAfterAnIncompleteStart() {
      StepInstance step = step(Schedule.ONCE);
      step.becomeReady(at(HEARD_MS));
      start(step.tasks.get(0));
      step.readySinceMs = -1;
      step.becomeReady(at(3_000));
      assertEquals(ACCEPTED_MS, step.waitingSinceMs());
    }

    @Test
    void beginsAnewAfterACompleteStart() {
      StepInstance step = step(Schedule.ONCE);
      step.becomeReady(at(HEARD_MS));
      step.tasks.forEach(this::start);
      step.readySinceMs = -1;
      step.becomeReady(at(3_000));
      assertEquals(3_000, step.waitingSinceMs());
    }

    /** Guards against a gang that takes any rack at once because a start got no answer. */
    @Test
    void beginsAnewAfterAStartThatOnlyAListHasShown() {
      StepInstance step = step(Schedule.ONCE);
      step.becomeReady(at(HEARD_MS));
      start(step.tasks.get(0));
      Placement listed = place(step.tasks.get(1));
      listed.listed = true;
      step.onRunStarted();
      step.readySinceMs = -1;
      step.becomeReady(at(3_000));
      assertEquals(3_000, step.waitingSinceMs());
    }

    private void start(Task task) {
      place(task).confirmed = true;
      task.step.onRunStarted();
    }

    private static Placement place(Task task) {
      WorkerEntry entry =
          new WorkerEntry("w", "s", "a:1", "z", "r", Set.of(), new Resources(8, 8, 8), 1, false);
      task.state = State.PLACED;
      task.run = 1;
      Placement placement =
          new Placement(
              task, new RunName(task.name, 1), new WorkerState(entry), Phase.RUNNING, HEARD_MS);
      task.placements.add(placement);
      return placement;
    }
  }
}
