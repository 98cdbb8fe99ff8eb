/** Jobs of steps, their tasks, and the declarations that govern them. */
@NullMarked
package dev.bambootray.jobs.model;

import org.jspecify.annotations.NullMarked;
