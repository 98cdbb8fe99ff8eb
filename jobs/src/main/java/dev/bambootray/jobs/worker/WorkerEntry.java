package dev.bambootray.jobs.worker;

import dev.bambootray.core.model.Resources;
import java.util.Set;

/**
 * A worker as the registry lists it.
 *
 * @param id identifier of this life of the worker
 * @param service service that it belongs to
 * @param address where it listens, as host and port
 * @param zone failure domain
 * @param rack rack, or empty
 * @param labels all its labels, the rack among them
 * @param capacity what its tasks may use together
 * @param bornMs start of this life in milliseconds since the epoch, 0 if unknown
 * @param draining whether it is leaving
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
}
