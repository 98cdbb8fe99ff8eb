package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns run times and job sizes for each template. Declared run times may be wrong by a factor of
 * ten, so the observed average replaces them after a few samples.
 */
final class TemplateStatistics {
  private static final int MIN_SAMPLES = 3;
  private static final double MIN_SAMPLE_WEIGHT = 0.15;
  private static final long DEFAULT_RUN_MS = 3_000;

  /** Averages samples; once there are many, older samples lose weight exponentially. */
  private static final class MovingAverage {
    private double value;
    private int samples;

    private void add(double sample) {
      samples++;
      value += (sample - value) * Math.max(MIN_SAMPLE_WEIGHT, 1.0 / samples);
    }
  }

  private final Map<String, MovingAverage> runTimes = new HashMap<>();
  private final Map<String, MovingAverage> jobCoreSeconds = new HashMap<>();

  void addRunTime(String template, double durationMs) {
    runTimes.computeIfAbsent(template, name -> new MovingAverage()).add(durationMs);
  }

  void addJob(Job job) {
    jobCoreSeconds
        .computeIfAbsent(job.spec.template(), name -> new MovingAverage())
        .add(totalCoreSeconds(job));
  }

  /** Returns the expected run time of one task of a step. */
  long expectedRunMs(StepInstance step) {
    return expectedRunMs(step.job.spec, step.spec);
  }

  private long expectedRunMs(JobSpec job, StepSpec step) {
    MovingAverage learned = runTimes.get(job.template());
    if (learned != null && learned.samples >= MIN_SAMPLES) {
      return (long) learned.value;
    }
    return step.estimateMs() > 0 ? step.estimateMs() : DEFAULT_RUN_MS;
  }

  /** Returns the core-seconds of a job relative to the average of its template. */
  double relativeSize(Job job) {
    MovingAverage mean = jobCoreSeconds.get(job.spec.template());
    return mean == null || mean.value <= 0 ? 1 : totalCoreSeconds(job) / mean.value;
  }

  /** Returns the core-seconds of the tasks of a job that are not done. */
  double remainingCoreSeconds(Job job) {
    double sum = 0;
    for (StepInstance step : job.openSteps()) {
      sum +=
          step.unfinishedTasks()
              * ResourceMath.weightInCores(step.spec.each())
              * expectedRunMs(step)
              / 1_000.0;
    }
    return sum + job.occurrencesAhead() * occurrenceCoreSeconds(job.spec);
  }

  /** Returns the expected length of the critical path through the steps that are not done. */
  long remainingCriticalPathMs(Job job, int occurrence) {
    return criticalPathMs(job, occurrence, true);
  }

  /** Returns the expected length of the critical path through all steps. */
  long totalCriticalPathMs(Job job, int occurrence) {
    return criticalPathMs(job, occurrence, false);
  }

  private long criticalPathMs(Job job, int occurrence, boolean onlyOpen) {
    int count = job.spec.steps().size();
    long[] ends = new long[count];
    long longest = 0;
    for (int index = 0; index < count; index++) {
      StepSpec step = job.spec.steps().get(index);
      long start = 0;
      for (int before : step.after()) {
        start = before < index ? Math.max(start, ends[before]) : start;
      }
      boolean counts = !onlyOpen || !job.isDone(occurrence, index);
      ends[index] = start + (counts ? expectedRunMs(job.spec, step) : 0);
      longest = Math.max(longest, ends[index]);
    }
    return longest;
  }

  /** Returns the core-seconds of all steps of a job. */
  double totalCoreSeconds(Job job) {
    return job.spec.schedule().occurrences() * occurrenceCoreSeconds(job.spec);
  }

  private double occurrenceCoreSeconds(JobSpec job) {
    return job.steps().stream()
        .mapToDouble(
            step ->
                step.count()
                    * ResourceMath.weightInCores(step.each())
                    * expectedRunMs(job, step)
                    / 1_000)
        .sum();
  }
}
