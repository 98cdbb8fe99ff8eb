/** Runs of tasks on workers: commands and their outcomes. */
@NullMarked
package dev.bambootray.jobs.worker;

import org.jspecify.annotations.NullMarked;
