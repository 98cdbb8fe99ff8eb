package dev.bambootray.core.scheduling;

/**
 * The load of the accelerators of a region.
 *
 * @param freeAccelerators accelerators that are not granted, on workers that take work
 * @param totalAccelerators accelerators of all workers that take work
 * @param expectedGangWaitMs expected wait of a typical gang in milliseconds
 */
public record GangLoad(int freeAccelerators, int totalAccelerators, long expectedGangWaitMs) {}
