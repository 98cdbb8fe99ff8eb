package dev.bambootray.jobs.model;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A job as it was accepted; it never changes.
 *
 * @param id identifier chosen by the caller
 * @param workspace workspace that owns it
 * @param template queue that it was submitted to
 * @param service service whose workers run it
 * @param payload text handed to each task
 * @param steps its steps
 * @param objective what the template promises
 * @param schedule when the steps run
 * @param acceptedWallMs time of its acceptance in milliseconds since the epoch
 */
public record JobSpec(
    String id,
    String workspace,
    String template,
    String service,
    String payload,
    List<StepSpec> steps,
    Objective objective,
    Schedule schedule,
    long acceptedWallMs) {

  /** Copies the list; a stored job without one of its parts cannot be read. */
  public JobSpec {
    requireNonNull(id, "id");
    requireNonNull(workspace, "workspace");
    requireNonNull(template, "template");
    requireNonNull(service, "service");
    requireNonNull(payload, "payload");
    requireNonNull(objective, "objective");
    requireNonNull(schedule, "schedule");
    steps = List.copyOf(steps);
  }

  /**
   * What a template promises for its jobs.
   *
   * @param priority 0 is served first and may stop borrowers of guaranteed capacity
   * @param maxAttempts failed runs after which a task fails its job
   * @param stretch allowed completion time as a multiple of the longest chain of work
   * @param targetLatencyMs added to the allowed completion time, in milliseconds
   */
  public record Objective(int priority, int maxAttempts, double stretch, long targetLatencyMs) {}

  /**
   * When the steps of a job run.
   *
   * @param occurrences how often the steps run, at least 1
   * @param firstDueWallMs time of the first occurrence in milliseconds since the epoch, 0 for at
   *     once
   * @param intervalMs time between two occurrences in milliseconds
   */
  public record Schedule(int occurrences, long firstDueWallMs, long intervalMs) {
    /** Runs the steps once, at once. */
    public static final Schedule ONCE = new Schedule(1, 0, 0);

    /** Returns when an occurrence is due, in milliseconds since the epoch. */
    public long dueWallMs(int occurrence) {
      return firstDueWallMs == 0 ? 0 : firstDueWallMs + occurrence * intervalMs;
    }
  }

  /** Returns whether its occurrences have times. */
  public boolean isTimed() {
    return schedule.firstDueWallMs() > 0;
  }
}
