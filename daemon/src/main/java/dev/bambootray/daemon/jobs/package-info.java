/** Connects the job scheduler to the store, the workers, callers and other nodes. */
@NullMarked
package dev.bambootray.daemon.jobs;

import org.jspecify.annotations.NullMarked;
