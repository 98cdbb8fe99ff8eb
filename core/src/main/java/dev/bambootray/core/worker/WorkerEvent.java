package dev.bambootray.core.worker;

/**
 * A change of a task, in the order in which it happened on the worker.
 *
 * @param sequence rises by one with each event of the worker
 * @param snapshot state of the task after the change
 */
public record WorkerEvent(long sequence, TaskSnapshot snapshot) {}
