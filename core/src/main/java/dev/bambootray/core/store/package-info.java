/** Rows and transactions of the platform's table, and the queue of writes to it. */
@NullMarked
package dev.bambootray.core.store;

import org.jspecify.annotations.NullMarked;
