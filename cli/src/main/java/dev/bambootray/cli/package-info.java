/** The command-line tool. */
@NullMarked
package dev.bambootray.cli;

import org.jspecify.annotations.NullMarked;
