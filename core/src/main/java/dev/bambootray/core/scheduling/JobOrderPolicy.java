package dev.bambootray.core.scheduling;

/** Decides the order in which waiting jobs are placed. */
interface JobOrderPolicy {
  /** Returns the score of a job; the job with the lowest score is placed first. */
  double score(Job job, long nowMs);

  /** Returns whether a job that cannot be placed keeps all later jobs waiting. */
  boolean hasHeadOfLineBlocking();
}
