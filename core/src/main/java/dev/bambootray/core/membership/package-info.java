/** Membership of the cluster: detects by probes and gossip which nodes are alive. */
@NullMarked
package dev.bambootray.core.membership;

import org.jspecify.annotations.NullMarked;
