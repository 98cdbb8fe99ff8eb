package dev.bambootray.core.routing;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;

/**
 * Load of a region as its owner reports it.
 *
 * @param region the region
 * @param owner the node that owns it
 * @param epoch the owner's epoch
 * @param freeSlots free slots of its targets
 * @param totalSlots all slots of its targets
 * @param freeAccelerators free accelerators
 * @param totalAccelerators all accelerators
 * @param expectedSlotWaitMs expected wait for a slot in milliseconds
 * @param expectedGangWaitMs expected wait of a typical gang in milliseconds
 * @param measuredAtMs when it was measured, in milliseconds since the epoch
 */
public record RegionLoad(
    RegionId region,
    NodeId owner,
    long epoch,
    int freeSlots,
    int totalSlots,
    int freeAccelerators,
    int totalAccelerators,
    long expectedSlotWaitMs,
    long expectedGangWaitMs,
    long measuredAtMs) {}
