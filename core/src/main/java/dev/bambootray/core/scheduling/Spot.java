package dev.bambootray.core.scheduling;

/**
 * Where one member lies.
 *
 * @param worker the worker
 * @param first index of the first of its adjacent accelerators
 */
record Spot(WorkerSlot worker, int first) {}
