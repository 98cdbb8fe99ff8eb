/** Lets a node that cannot reach the store call it through other nodes. */
@NullMarked
package dev.bambootray.adapters.relay;

import org.jspecify.annotations.NullMarked;
