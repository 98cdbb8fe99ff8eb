/** Replay of arrivals and answers against the router and against simpler policies. */
@NullMarked
package dev.bambootray.bench.routing;

import org.jspecify.annotations.NullMarked;
