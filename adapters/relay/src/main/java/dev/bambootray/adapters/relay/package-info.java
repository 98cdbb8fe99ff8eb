/** Calls of the store that one node carries out for another. */
@NullMarked
package dev.bambootray.adapters.relay;

import org.jspecify.annotations.NullMarked;
