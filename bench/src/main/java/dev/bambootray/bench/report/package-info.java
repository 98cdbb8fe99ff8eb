/** Results of a benchmark: a table, JSON and a check against committed bounds. */
@NullMarked
package dev.bambootray.bench.report;

import org.jspecify.annotations.NullMarked;
