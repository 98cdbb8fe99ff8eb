package dev.bambootray.core.scheduling;

/** Decides which waiting job is tried first. */
interface OrderPolicy {
  /** Returns the score of a job; the lowest score is tried first. */
  double score(Job job, long nowMs);

  /** Returns whether a job that cannot be placed keeps all later jobs waiting. */
  boolean blocksBehindHead();
}
