/** Snapshots of learned run times for the object store. */
@NullMarked
package dev.bambootray.core.snapshot;

import org.jspecify.annotations.NullMarked;
