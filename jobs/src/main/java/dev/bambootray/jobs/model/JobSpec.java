package dev.bambootray.jobs.model;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Holds the immutable specification of an accepted job.
 *
 * @param id identifier chosen by the caller
 * @param workspace workspace that owns it
 * @param template queue that it was submitted to
 * @param service service whose workers run it
 * @param payload text passed to each task
 * @param steps steps of the job
 * @param objective objective of the template
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

  /** Copies the list and rejects null, so that decoding an incomplete stored job fails. */
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
   * The objective that a template declares for its jobs.
   *
   * @param priority 0 is the highest and may reclaim guaranteed capacity from other jobs
   * @param maxAttempts number of failed runs of one task after which the job fails
   * @param stretch allowed completion time as a multiple of the critical path
   * @param targetLatencyMs added to the allowed completion time, in milliseconds
   */
  public record Objective(int priority, int maxAttempts, double stretch, long targetLatencyMs) {}

  /**
   * The schedule of a job's steps.
   *
   * @param occurrences number of times that the steps run, at least 1
   * @param firstDueWallMs time of the first occurrence in milliseconds since the epoch, 0 for
   *     immediately
   * @param intervalMs time between two occurrences in milliseconds
   */
  public record Schedule(int occurrences, long firstDueWallMs, long intervalMs) {
    /** Runs the steps once, immediately. */
    public static final Schedule ONCE = new Schedule(1, 0, 0);

    /** Returns when an occurrence is due, in milliseconds since the epoch. */
    public long dueWallMs(int occurrence) {
      return firstDueWallMs == 0 ? 0 : firstDueWallMs + occurrence * intervalMs;
    }
  }

  /** Returns this specification with an empty payload. */
  public JobSpec withoutPayload() {
    return new JobSpec(
        id, workspace, template, service, "", steps, objective, schedule, acceptedWallMs);
  }

  /** Returns whether its occurrences have scheduled times. */
  public boolean isTimed() {
    return schedule.firstDueWallMs() > 0;
  }
}
