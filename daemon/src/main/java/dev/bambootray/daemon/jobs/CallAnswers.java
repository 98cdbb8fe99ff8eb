package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.scheduling.JobEvent;

/** Receives the answers to calls that a scheduler requested. */
@FunctionalInterface
interface CallAnswers {
  /**
   * Receives an answer, on any thread.
   *
   * @param sentEpoch epoch of the owner when it made the call
   * @param answer the answer
   */
  void onAnswer(long sentEpoch, JobEvent answer);
}
