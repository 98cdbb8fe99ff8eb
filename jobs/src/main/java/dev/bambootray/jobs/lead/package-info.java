/** Election of the node that owns the pool and schedules its jobs. */
@NullMarked
package dev.bambootray.jobs.lead;

import org.jspecify.annotations.NullMarked;
