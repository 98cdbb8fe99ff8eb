/** Workers and a store in memory for the job scheduler, in virtual time. */
@NullMarked
package dev.bambootray.standins.jobs;

import org.jspecify.annotations.NullMarked;
