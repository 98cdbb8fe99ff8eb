package dev.bambootray.core.snapshot;

import dev.bambootray.core.model.RegionId;
import java.util.List;

/**
 * A snapshot of the run times that the owner of a region has learned.
 *
 * @param region the region
 * @param epoch epoch of the owner that took the snapshot
 * @param takenAtMs when it was taken, in milliseconds since the epoch
 * @param runTimes learned run times, at most one for each template and workspace
 */
public record RunTimeSnapshot(
    RegionId region, long epoch, long takenAtMs, List<LearnedRunTime> runTimes) {

  /** Copies the list. */
  public RunTimeSnapshot {
    runTimes = List.copyOf(runTimes);
  }
}
