/** The daemon: one control thread, traffic threads and their wiring. */
@NullMarked
package dev.bambootray.daemon;

import org.jspecify.annotations.NullMarked;
