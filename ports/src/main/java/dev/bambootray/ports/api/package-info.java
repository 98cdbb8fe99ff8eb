/** What callers and operators can ask of a node; the HTTP adapter drives it. */
@NullMarked
package dev.bambootray.ports.api;

import org.jspecify.annotations.NullMarked;
