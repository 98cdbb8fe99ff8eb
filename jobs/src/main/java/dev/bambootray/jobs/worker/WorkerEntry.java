package dev.bambootray.jobs.worker;

import dev.bambootray.core.model.Resources;
import java.util.Set;

/**
 * Describes a worker in the registry.
 *
 * @param id identifier of this instance of the worker
 * @param service service that it belongs to
 * @param address host and port on which it listens
 * @param zone failure domain of the worker
 * @param rack rack of the worker, or empty
 * @param labels all labels, including the rack
 * @param capacity resources available to its tasks
 * @param bornMs start of the worker's process in milliseconds since the epoch, 0 if unknown
 * @param draining whether it accepts no new runs because it is leaving
 */
public record WorkerEntry(
    String id,
    String service,
    String address,
    String zone,
    String rack,
    Set<String> labels,
    Resources capacity,
    long bornMs,
    boolean draining) {
  /** Copies the set. */
  public WorkerEntry {
    labels = Set.copyOf(labels);
  }

  /** Returns the same worker with another start of its process. */
  public WorkerEntry withBornMs(long value) {
    return new WorkerEntry(id, service, address, zone, rack, labels, capacity, value, draining);
  }
}
