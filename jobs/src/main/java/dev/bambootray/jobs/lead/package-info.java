/** Election of the one node that schedules. */
@NullMarked
package dev.bambootray.jobs.lead;

import org.jspecify.annotations.NullMarked;
