/** Versioned rows of the store that holds the state of jobs. */
@NullMarked
package dev.bambootray.jobs.store;

import org.jspecify.annotations.NullMarked;
