package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that no task starts after a run of it has finished, if that end is acknowledged before the
 * start or later, as the platform's rule TWICE demands.
 */
public final class FinishedTaskCheck {
  /** Newest end of a task as done, which may still be lost with its worker. */
  private final Map<TaskName, RunEnd> finished = new HashMap<>();

  /**
   * Runs that started after an end. Compared by identity: a worker that restarts may end the same
   * run again under the same number.
   */
  private final IdentityHashMap<RunEnd, RunName> startedSince = new IdentityHashMap<>();

  private final Map<TaskName, RunName> acknowledged = new HashMap<>();

  /** Notes the start of a run and returns what is wrong with it. */
  public Optional<String> onStart(RunName run) {
    RunEnd end = finished.get(run.task());
    if (end != null) {
      startedSince.putIfAbsent(end, run);
    }
    return Optional.ofNullable(acknowledged.get(run.task()))
        .map(done -> run + " starts although " + done + " was noted as done");
  }

  /** Notes that a worker has ended a run. */
  public void onEnd(RunEnd end) {
    if (end.cause() == Cause.DONE) {
      finished.put(end.run().task(), end);
    }
  }

  /** Notes that an end was acknowledged for good and returns what is wrong with that. */
  public Optional<String> onAcknowledged(RunEnd end) {
    if (end.cause() != Cause.DONE) {
      return Optional.empty();
    }
    acknowledged.putIfAbsent(end.run().task(), end.run());
    return Optional.ofNullable(startedSince.get(end))
        .map(run -> run + " has started after " + end.run() + " was done, which is noted now");
  }
}
