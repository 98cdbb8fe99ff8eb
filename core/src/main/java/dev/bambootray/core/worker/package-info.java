/** Commands to worker agents and their replies. */
@NullMarked
package dev.bambootray.core.worker;

import org.jspecify.annotations.NullMarked;
