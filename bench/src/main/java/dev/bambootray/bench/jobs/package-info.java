/** Replays of job loads against the job scheduler, in virtual time. */
@NullMarked
package dev.bambootray.bench.jobs;

import org.jspecify.annotations.NullMarked;
