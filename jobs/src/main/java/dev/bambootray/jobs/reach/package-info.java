/** Decisions on whether a node calls the store directly or through another node. */
@NullMarked
package dev.bambootray.jobs.reach;

import org.jspecify.annotations.NullMarked;
