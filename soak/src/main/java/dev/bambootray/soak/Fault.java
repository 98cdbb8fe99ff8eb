package dev.bambootray.soak;

/**
 * One fault of a run.
 *
 * @param atMs when it begins, counted from the start of the run
 * @param kind what happens
 * @param target number of the node or worker, ignored by kinds that have none
 * @param forMs how long it lasts
 */
record Fault(long atMs, FaultKind kind, int target, long forMs) {}
