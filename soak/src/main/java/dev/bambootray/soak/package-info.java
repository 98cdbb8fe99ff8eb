/** Fault soak: real nodes as processes, with faults from outside. */
@NullMarked
package dev.bambootray.platform.soak;

import org.jspecify.annotations.NullMarked;
