/** Records of requests and their rows in the platform's table. */
@NullMarked
package dev.bambootray.core.ledger;

import org.jspecify.annotations.NullMarked;
