package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.HashMap;
import java.util.Map;

/** Determines how fast simulated workers run tasks, relative to a healthy worker near the data. */
final class WorkerSpeeds {
  /**
   * Relative speed of a gang on several racks, or of a task away from its data, on the platform.
   */
  private static final double CROSS_RACK_SPEED = 1 / 3.0;

  private final Map<String, Double> speeds = new HashMap<>();

  void set(String worker, double speed) {
    speeds.put(worker, speed);
  }

  /**
   * Returns the speed of a run.
   *
   * @param step the step of the run
   * @param worker the worker that runs it
   * @param spansRacks whether its gang is on several racks
   */
  double of(StepSpec step, WorkerEntry worker, boolean spansRacks) {
    boolean away = !step.dataRack().isEmpty() && !step.dataRack().equals(worker.rack());
    boolean spread = step.gang() && step.sameRack() && spansRacks;
    return speeds.getOrDefault(worker.id(), 1.0) * (away || spread ? CROSS_RACK_SPEED : 1);
  }
}
