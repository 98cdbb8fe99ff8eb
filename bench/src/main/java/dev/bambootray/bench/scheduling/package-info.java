/** Replays of job traces against the region scheduler, its comparisons and its cost. */
@NullMarked
package dev.bambootray.bench.scheduling;

import org.jspecify.annotations.NullMarked;
