package dev.bambootray.core.model;

/**
 * An amount of resources in one worker.
 *
 * @param accelerators number of accelerators
 * @param millicores processor time in thousandths of a core
 * @param memoryMib memory in MiB
 */
public record Resources(int accelerators, int millicores, int memoryMib) {}
