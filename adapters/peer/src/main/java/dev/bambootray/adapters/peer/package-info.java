/** Messages between nodes over TCP. */
@NullMarked
package dev.bambootray.adapters.peer;

import org.jspecify.annotations.NullMarked;
