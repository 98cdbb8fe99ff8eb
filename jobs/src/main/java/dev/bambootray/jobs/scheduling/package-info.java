/** Scheduler of the jobs of a pool: decides when each task runs and on which worker. */
@NullMarked
package dev.bambootray.jobs.scheduling;

import org.jspecify.annotations.NullMarked;
