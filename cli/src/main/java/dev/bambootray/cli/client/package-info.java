/** Calls nodes over HTTP and moves on to the next node when one cannot be reached. */
@NullMarked
package dev.bambootray.cli.client;

import org.jspecify.annotations.NullMarked;
