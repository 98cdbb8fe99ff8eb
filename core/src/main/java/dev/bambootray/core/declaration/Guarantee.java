package dev.bambootray.core.declaration;

import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Shape;

/**
 * A shape that a workspace can claim at any time.
 *
 * @param region where it is guaranteed
 * @param shape the shape
 * @param count number of gangs of this shape that it can claim at the same time
 */
public record Guarantee(RegionId region, Shape shape, int count) {}
