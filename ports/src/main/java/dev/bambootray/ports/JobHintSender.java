package dev.bambootray.ports;

import java.util.Objects;

/**
 * Sends hints to the owner of the pool that a job has changed in the store, in addition to the
 * store's change feed. A hint carries no state: its receiver reads the job from the store.
 */
@FunctionalInterface
public interface JobHintSender {
  /** Discards all hints. */
  JobHintSender NONE = (node, hint) -> {};

  /**
   * Names a job that has changed in the store.
   *
   * @param job the job
   * @param cancelled whether it was cancelled; otherwise it was accepted
   */
  record Hint(String job, boolean cancelled) {
    /** Rejects a hint without a job. */
    public Hint {
      Objects.requireNonNull(job, "job");
    }
  }

  /**
   * Sends a hint to a node without waiting for an answer.
   *
   * @param node name of its VM
   * @param hint the hint
   */
  void send(String node, Hint hint);
}
