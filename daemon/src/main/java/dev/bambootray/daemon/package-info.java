/** Runs a node: one control thread, event loops for traffic, and their wiring. */
@NullMarked
package dev.bambootray.daemon;

import org.jspecify.annotations.NullMarked;
