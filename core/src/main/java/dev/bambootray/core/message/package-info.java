/** The messages between nodes, independent of their encoding. */
@NullMarked
package dev.bambootray.core.message;

import org.jspecify.annotations.NullMarked;
