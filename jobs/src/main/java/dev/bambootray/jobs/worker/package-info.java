/** Workers as the scheduler addresses them, and the outcomes of orders sent to them. */
@NullMarked
package dev.bambootray.jobs.worker;

import org.jspecify.annotations.NullMarked;
