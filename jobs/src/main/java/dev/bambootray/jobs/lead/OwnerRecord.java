package dev.bambootray.jobs.lead;

import static java.util.Objects.requireNonNull;

import java.util.Map;

/**
 * Content of the row that names the owner of the pool.
 *
 * @param holder process that owns the pool, named by its node and its start
 * @param epoch increases with each owner; workers refuse orders of lower epochs
 * @param sequence increases with each commit of the owner
 * @param released whether the owner has released the pool
 * @param pending number of accepted jobs that have not started, by template
 * @param heldPercent memory that the accepted jobs take at the owner, in percent of its limit
 */
public record OwnerRecord(
    String holder,
    long epoch,
    long sequence,
    boolean released,
    Map<String, Long> pending,
    int heldPercent) {
  /** Copies the map and rejects null, so that decoding an incomplete stored row fails. */
  public OwnerRecord {
    requireNonNull(holder, "holder");
    pending = Map.copyOf(pending);
  }

  /**
   * Returns whether the holder is an earlier process of the same node, which must have ended.
   *
   * @param process name of a process: the node, a slash and a part that is unique to each start
   */
  boolean isEarlierProcessOf(String process) {
    int slash = process.lastIndexOf('/');
    return slash > 0
        && !holder.equals(process)
        && holder.startsWith(process.substring(0, slash + 1));
  }
}
