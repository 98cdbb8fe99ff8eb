/** Placement of gangs on the accelerators of one region under workspace guarantees. */
@NullMarked
package dev.bambootray.core.scheduling;

import org.jspecify.annotations.NullMarked;
