package dev.bambootray.jobs.model;

import java.util.List;

/**
 * What is kept of a job across owners.
 *
 * @param job identifier of the job
 * @param phase its state
 * @param finishedWallMs when it reached a final state in milliseconds since the epoch, or 0
 * @param tasks its tasks in the order of occurrence, step and index; empty once it is final
 */
public record JobRecord(String job, JobPhase phase, long finishedWallMs, List<TaskRecord> tasks) {
  /** Copies the list. */
  public JobRecord {
    tasks = List.copyOf(tasks);
  }
}
