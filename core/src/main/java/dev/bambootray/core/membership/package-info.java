/** Which nodes are alive, found out by probes and gossip. */
@NullMarked
package dev.bambootray.core.membership;

import org.jspecify.annotations.NullMarked;
