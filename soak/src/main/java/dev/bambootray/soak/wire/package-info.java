/**
 * Stand-ins of the users' platform that speak its published protocol; no other part of the soak
 * does.
 */
@NullMarked
package dev.bambootray.soak.wire;

import org.jspecify.annotations.NullMarked;
