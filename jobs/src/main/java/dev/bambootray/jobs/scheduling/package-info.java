/** Decides which task runs where and when. */
@NullMarked
package dev.bambootray.jobs.scheduling;

import org.jspecify.annotations.NullMarked;
