package dev.bambootray.bench.scheduling;

/**
 * One replay.
 *
 * @param deployment {@code first} or {@code second}
 * @param seed seed of the trace
 * @param policy name of the policy
 * @param measures what was measured
 */
record ReplayRun(String deployment, long seed, String policy, ReplayMeasures measures) {}
