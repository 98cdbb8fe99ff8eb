/**
 * The control logic of one node, without I/O: {@link dev.bambootray.core.node.NodeCore} turns
 * events into effects that the daemon carries out.
 */
@NullMarked
package dev.bambootray.core.node;

import org.jspecify.annotations.NullMarked;
