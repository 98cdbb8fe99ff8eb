package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.JobSpec.Schedule;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class JobTest {
  private static final long FIRST_MS = 1_000;
  private static final long INTERVAL_MS = 100;
  private static final TaskRecord DONE = new TaskRecord(State.DONE, 1, 0, "", "");
  private static final TaskRecord PLACED = new TaskRecord(State.PLACED, 3, 1, "worker", "");

  /** Returns a job of four occurrences, each with two tasks and then a third. */
  private static Job job(@Nullable JobRecord saved, long nowMs) {
    Resources each = new Resources(1, 1, 1);
    StepSpec last = StepSpec.builder(1, each).after(List.of(0)).build();
    JobSpec spec =
        new JobSpec(
            "job",
            "ws",
            "t",
            "s",
            "p",
            List.of(StepSpec.builder(2, each).build(), last),
            new JobSpec.Objective(1, 1, 1, 1),
            new Schedule(4, FIRST_MS, INTERVAL_MS),
            0);
    return Job.of(spec, saved, new EventTime(nowMs, nowMs));
  }

  private static JobRecord record(List<TaskRecord> tasks) {
    return new JobRecord("job", JobPhase.RUNNING, 0, tasks);
  }

  private static List<TaskRecord> repeat(TaskRecord task, int count) {
    return new ArrayList<>(Collections.nCopies(count, task));
  }

  private static void finish(Job job, int occurrence) {
    Stream.of(
            new TaskName("job", occurrence, 0, 0),
            new TaskName("job", occurrence, 0, 1),
            new TaskName("job", occurrence, 1, 0))
        .map(name -> job.task(name).orElseThrow())
        .forEach(
            task -> {
              task.state = State.DONE;
              task.run = 1;
            });
  }

  @Nested
  final class Occurrences {
    @Test
    void openWhenTheyAreDue() {
      Job job = job(null, 0);
      assertEquals(0, job.openSteps().size());
      job.openDue(FIRST_MS);
      assertEquals(2, job.openSteps().size());
      job.openDue(FIRST_MS + 2 * INTERVAL_MS);
      assertEquals(6, job.openSteps().size());
      assertEquals(1, job.occurrencesAhead());
    }

    @Test
    void closeWhenTheyAreDone() {
      Job job = job(null, FIRST_MS + INTERVAL_MS);
      finish(job, 0);
      job.openDue(FIRST_MS + INTERVAL_MS);
      assertEquals(2, job.openSteps().size());
      assertTrue(job.isDone(0, 1));
      assertFalse(job.isDone(1, 0));
      assertEquals(repeat(DONE, 3), job.record().tasks());
    }

    @Test
    void leaveTheJobUnfinishedUntilAllAreDone() {
      Job job = job(null, FIRST_MS + 3 * INTERVAL_MS);
      for (int occurrence = 0; occurrence < 4; occurrence++) {
        assertFalse(job.isDone());
        finish(job, occurrence);
        job.openDue(FIRST_MS + 3 * INTERVAL_MS);
      }
      assertTrue(job.isDone());
    }

    @Test
    void stayOpenWhileARunIsKnown() {
      Job job = job(null, FIRST_MS);
      finish(job, 0);
      Task task = job.openTasks().findFirst().orElseThrow();
      task.placements.add(null);
      job.openDue(FIRST_MS);
      assertEquals(2, job.openSteps().size());
      task.placements.clear();
      job.closeSettled();
      assertEquals(0, job.openSteps().size());
    }
  }

  @Nested
  final class Steps {
    /** Guards against a heap that fills with tasks which wait for other steps. */
    @Test
    void haveTasksOnceTheStepsBeforeThemAreDone() {
      Job job = job(null, FIRST_MS);
      assertEquals(2, job.openTasks().count());
      job.openTasks().forEach(task -> task.state = State.DONE);
      job.openDue(FIRST_MS);
      assertEquals(3, job.openTasks().count());
    }

    @Test
    void areNotDoneWithoutTasks() {
      Job job = job(null, FIRST_MS);
      assertFalse(job.isDone(0, 1));
      assertFalse(job.openSteps().get(1).hasReadyTasks());
      assertEquals(1, job.openSteps().get(1).unfinishedTasks());
    }
  }

  @Nested
  final class Records {
    /** Guards against records that grow with occurrences which are far ahead. */
    @Test
    void endWithTheLastTaskThatHasRun() {
      Job job = job(null, FIRST_MS + INTERVAL_MS);
      assertEquals(List.of(), job.record().tasks());
      job.task(new TaskName("job", 1, 0, 0)).orElseThrow().run = 7;
      assertEquals(4, job.record().tasks().size());
    }

    @Test
    void areEmptyInAFinalPhase() {
      Job job = job(record(repeat(DONE, 5)), FIRST_MS + INTERVAL_MS);
      job.finish(JobPhase.CANCELLED, 1);
      assertEquals(List.of(), job.record().tasks());
      job.closeSettled();
      assertEquals(0, job.openSteps().size());
    }
  }

  @Nested
  final class Takeover {
    @Test
    void continuesFromARecordOfAllTasks() {
      List<TaskRecord> saved = repeat(DONE, 3);
      saved.add(PLACED);
      saved.addAll(repeat(TaskRecord.NEW, 8));
      Job job = job(record(saved), FIRST_MS + INTERVAL_MS);
      assertEquals(2, job.openSteps().size());
      assertEquals(2, job.occurrencesAhead());
      assertEquals(saved.subList(0, 4), job.record().tasks());
    }

    /** Guards against a lost run that the owner before started by a clock that was ahead. */
    @Test
    void opensAnOccurrenceThatHasRunsBeforeItsTime() {
      List<TaskRecord> saved = repeat(TaskRecord.NEW, 3);
      saved.add(PLACED);
      Job job = job(record(saved), 0);
      assertEquals(1, job.openTasks().filter(task -> task.state == State.PLACED).count());
      job.openDue(FIRST_MS + INTERVAL_MS);
      assertEquals(4, job.openSteps().size());
    }

    @Test
    void findsTheTaskOfARunThatAWorkerListsLate() {
      Job job = job(record(repeat(DONE, 3)), FIRST_MS);
      Task task = job.task(new TaskName("job", 0, 0, 1)).orElseThrow();
      assertEquals(State.DONE, task.state);
      job.closeSettled();
      assertEquals(3, job.occurrencesAhead());
      assertTrue(job.task(new TaskName("job", 4, 0, 0)).isEmpty());
      assertTrue(job.task(new TaskName("job", 0, 0, 2)).isEmpty());
    }
  }
}
