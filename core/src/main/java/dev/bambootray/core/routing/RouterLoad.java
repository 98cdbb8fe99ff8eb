package dev.bambootray.core.routing;

/**
 * Load of the service targets of a region, for {@link RegionLoad}.
 *
 * @param freeSlots slots that new requests can take now
 * @param totalSlots slots of all joined targets
 * @param queued requests that wait for a slot
 * @param expectedSlotWaitMs expected wait of the next request in milliseconds; a day if no target
 *     is open
 */
public record RouterLoad(int freeSlots, int totalSlots, int queued, long expectedSlotWaitMs) {}
