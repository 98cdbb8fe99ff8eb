package dev.bambootray.jobs.lead;

import java.util.Map;

/**
 * The row that names the owner of the pool.
 *
 * @param holder process that owns the pool, as node and start of the process
 * @param epoch rises with each owner; workers refuse orders of lower epochs
 * @param sequence rises with each commit of the owner
 * @param released whether the owner has given the pool up
 * @param pending accepted jobs that have not begun, by template
 */
public record OwnerRecord(
    String holder, long epoch, long sequence, boolean released, Map<String, Long> pending) {
  /** Copies the map. */
  public OwnerRecord {
    pending = Map.copyOf(pending);
  }

  /**
   * Returns whether the holder is an earlier process of the same node, which then has ended.
   *
   * @param process name of a process: the node, a slash and what differs after each start
   */
  boolean isEarlierLifeOf(String process) {
    int slash = process.lastIndexOf('/');
    return slash > 0
        && !holder.equals(process)
        && holder.startsWith(process.substring(0, slash + 1));
  }
}
