/** Data model of jobs, steps and tasks, and of the declarations that apply to them. */
@NullMarked
package dev.bambootray.jobs.model;

import org.jspecify.annotations.NullMarked;
