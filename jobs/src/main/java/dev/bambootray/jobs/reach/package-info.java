/** Decisions on how a node reaches the store: by itself or through another node. */
@NullMarked
package dev.bambootray.jobs.reach;

import org.jspecify.annotations.NullMarked;
