/** Benchmarks with regression bounds. */
@NullMarked
package dev.bambootray.bench;

import org.jspecify.annotations.NullMarked;
