/** Versioned rows in which the state of jobs is kept. */
@NullMarked
package dev.bambootray.jobs.store;

import org.jspecify.annotations.NullMarked;
