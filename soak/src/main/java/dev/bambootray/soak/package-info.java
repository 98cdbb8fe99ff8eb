/** Fault soak: real nodes as processes, with faults from outside. */
@NullMarked
package dev.bambootray.soak;

import org.jspecify.annotations.NullMarked;
