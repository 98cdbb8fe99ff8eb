/** Assigns each region an owner node by leases and epochs in conditionally written table rows. */
@NullMarked
package dev.bambootray.core.ownership;

import org.jspecify.annotations.NullMarked;
