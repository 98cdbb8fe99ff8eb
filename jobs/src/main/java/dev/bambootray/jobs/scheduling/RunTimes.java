package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns run times and job sizes for each template. Declared run times may be wrong by a factor of
 * ten, so the observed average replaces them after a few samples.
 */
final class RunTimes {
  private static final int ENOUGH_SAMPLES = 3;
  private static final double NEW_SHARE = 0.15;
  private static final long UNKNOWN_MS = 3_000;

  /** Averages samples; once there are many, older samples lose weight exponentially. */
  private static final class Average {
    private double value;
    private int samples;

    private void add(double sample) {
      samples++;
      value += (sample - value) * Math.max(NEW_SHARE, 1.0 / samples);
    }
  }

  private final Map<String, Average> runTimes = new HashMap<>();
  private final Map<String, Average> jobWork = new HashMap<>();

  void ran(String template, double durationMs) {
    runTimes.computeIfAbsent(template, name -> new Average()).add(durationMs);
  }

  void accepted(Job job) {
    jobWork.computeIfAbsent(job.spec.template(), name -> new Average()).add(wholeWork(job));
  }

  /** Returns the expected run time of one task of a step. */
  long expectedMs(StepRun step) {
    Average learned = runTimes.get(step.job.spec.template());
    if (learned != null && learned.samples >= ENOUGH_SAMPLES) {
      return (long) learned.value;
    }
    return step.spec.estimateMs() > 0 ? step.spec.estimateMs() : UNKNOWN_MS;
  }

  /** Returns the core-seconds of a job relative to the average of its template. */
  double relativeWork(Job job) {
    Average mean = jobWork.get(job.spec.template());
    return mean == null || mean.value <= 0 ? 1 : wholeWork(job) / mean.value;
  }

  /** Returns the core-seconds of the tasks of a job that are not done. */
  double remainingWork(Job job) {
    double sum = 0;
    for (StepRun step : job.steps) {
      int open = 0;
      for (Task task : step.tasks) {
        open += task.state == State.DONE ? 0 : 1;
      }
      sum += open * Amounts.cores(step.spec.each()) * expectedMs(step) / 1_000.0;
    }
    return sum;
  }

  /** Returns the expected length of the critical path through the steps that are not done. */
  long remainingChainMs(Job job, int occurrence) {
    return chainMs(job, occurrence, true);
  }

  /** Returns the expected length of the critical path through all steps. */
  long wholeChainMs(Job job, int occurrence) {
    return chainMs(job, occurrence, false);
  }

  private long chainMs(Job job, int occurrence, boolean onlyOpen) {
    int count = job.spec.steps().size();
    long[] ends = new long[count];
    long longest = 0;
    for (int index = 0; index < count; index++) {
      StepRun step = job.steps.get(occurrence * count + index);
      long start = 0;
      for (int before : step.spec.after()) {
        start = before < index ? Math.max(start, ends[before]) : start;
      }
      ends[index] = start + (onlyOpen && step.isDone() ? 0 : expectedMs(step));
      longest = Math.max(longest, ends[index]);
    }
    return longest;
  }

  /** Returns the core-seconds of all steps of a job. */
  double wholeWork(Job job) {
    return job.steps.stream()
        .mapToDouble(
            step -> step.spec.count() * Amounts.cores(step.spec.each()) * expectedMs(step) / 1_000)
        .sum();
  }
}
