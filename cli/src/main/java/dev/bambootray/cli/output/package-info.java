/** Prints tables, requests and errors. */
@NullMarked
package dev.bambootray.cli.output;

import org.jspecify.annotations.NullMarked;
