package dev.bambootray.ports;

import java.util.Objects;

/**
 * Tells the owner of the pool that the store has news of a job, beside the store's own feed. A hint
 * carries no state: who gets one reads the store.
 */
@FunctionalInterface
public interface JobHints {
  /** Hints that reach nobody. */
  JobHints NONE = (node, hint) -> {};

  /**
   * What there is news of.
   *
   * @param job the job
   * @param cancelled whether it was cancelled; otherwise it was accepted
   */
  record Hint(String job, boolean cancelled) {
    /** Refuses a hint that names no job. */
    public Hint {
      Objects.requireNonNull(job, "job");
    }
  }

  /**
   * Tells a node, without waiting for an answer.
   *
   * @param node name of its VM
   * @param hint what to look for
   */
  void tell(String node, Hint hint);
}
