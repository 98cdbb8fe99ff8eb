/** What the daemon needs from the outside; adapters implement it. */
@NullMarked
package dev.bambootray.ports;

import org.jspecify.annotations.NullMarked;
