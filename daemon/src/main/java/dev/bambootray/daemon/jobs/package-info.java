/**
 * Runs the scheduling of jobs against the ports: followers of tables, callers, the pool's owner.
 */
@NullMarked
package dev.bambootray.daemon.jobs;

import org.jspecify.annotations.NullMarked;
