package dev.bambootray.demo;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What callers and stand-in workers counted in one deployment.
 *
 * @param deployment its name
 * @param submitted requests that callers sent
 * @param accepted requests that a node accepted
 * @param answered requests with a final answer
 * @param lost accepted requests without an answer
 * @param duplicateAnswers requests whose answer differed when it was read again elsewhere
 * @param notRun requests whose final answer is that they did not run
 * @param refusedButRan of these, the ones that ran all the same
 * @param doubleRuns runs of not repeatable requests beyond the first
 * @param partialGangs gangs of which only a part ran
 * @param guaranteeViolations claims of guaranteed capacity that did not start within 5 s
 * @param slotExcess targets that were asked to run more than their slots
 * @param connectionExcess connections that a worker had to refuse
 * @param completionMs completion times of successful requests
 * @param crossRegionBytes bytes that nodes sent to nodes of other regions
 */
record DemoResult(
    String deployment,
    long submitted,
    long accepted,
    long answered,
    long lost,
    @JsonProperty("duplicate_answers") long duplicateAnswers,
    @JsonProperty("not_run") long notRun,
    @JsonProperty("refused_but_ran") long refusedButRan,
    @JsonProperty("double_runs") long doubleRuns,
    @JsonProperty("partial_gangs") long partialGangs,
    @JsonProperty("guarantee_violations") long guaranteeViolations,
    @JsonProperty("slot_excess") long slotExcess,
    @JsonProperty("connection_excess") long connectionExcess,
    @JsonProperty("completion_ms") Completion completionMs,
    @JsonProperty("cross_region_bytes") long crossRegionBytes) {

  /** Returns whether every promise held. */
  boolean isClean() {
    return lost == 0
        && duplicateAnswers == 0
        && refusedButRan == 0
        && doubleRuns == 0
        && partialGangs == 0
        && guaranteeViolations == 0;
  }

  /**
   * Completion times.
   *
   * @param p50 median in milliseconds
   * @param p99 99th percentile in milliseconds
   */
  record Completion(long p50, long p99) {}
}
