/** The HTTP interface for callers and operators. */
@NullMarked
package dev.bambootray.adapters.http;

import org.jspecify.annotations.NullMarked;
