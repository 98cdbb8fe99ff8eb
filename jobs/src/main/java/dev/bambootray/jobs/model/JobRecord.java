package dev.bambootray.jobs.model;

import java.util.List;

/**
 * Holds the stored progress of a job, from which a new owner continues.
 *
 * @param job identifier of the job
 * @param phase state of the job
 * @param finishedWallMs time at which it reached a final phase in milliseconds since the epoch, or
 *     0
 * @param tasks its tasks in the order of occurrence, step and index; empty in a final phase
 */
public record JobRecord(String job, JobPhase phase, long finishedWallMs, List<TaskRecord> tasks) {
  /** Copies the list. */
  public JobRecord {
    tasks = List.copyOf(tasks);
  }
}
