/** Deterministic simulation of a pool's workers and store for the job scheduler. */
@NullMarked
package dev.bambootray.standins.jobs;

import org.jspecify.annotations.NullMarked;
