/** Interfaces to external systems, which the daemon calls and adapters implement. */
@NullMarked
package dev.bambootray.ports;

import org.jspecify.annotations.NullMarked;
