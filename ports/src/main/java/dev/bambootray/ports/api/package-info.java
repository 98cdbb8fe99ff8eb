/** Operations that a node offers to callers and operators; the HTTP adapter calls them. */
@NullMarked
package dev.bambootray.ports.api;

import org.jspecify.annotations.NullMarked;
