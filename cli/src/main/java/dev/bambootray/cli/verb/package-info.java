/** The verbs of the command-line tool, one class each. */
@NullMarked
package dev.bambootray.cli.verb;

import org.jspecify.annotations.NullMarked;
