/** Composes the parts into the control state of one node. */
@NullMarked
package dev.bambootray.core.node;

import org.jspecify.annotations.NullMarked;
