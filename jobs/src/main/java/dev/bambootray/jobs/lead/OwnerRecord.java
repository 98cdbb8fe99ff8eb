package dev.bambootray.jobs.lead;

import java.util.Map;

/**
 * The row that names the owner of the pool.
 *
 * @param holder process that owns the pool; a restarted process has another name
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
}
