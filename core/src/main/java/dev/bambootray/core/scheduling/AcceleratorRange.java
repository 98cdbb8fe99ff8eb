package dev.bambootray.core.scheduling;

/**
 * The adjacent accelerators of one worker that one member uses.
 *
 * @param worker the worker
 * @param first index of the first accelerator
 */
record AcceleratorRange(PoolWorker worker, int first) {}
