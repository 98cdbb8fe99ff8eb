/** Places the gangs of one region on its accelerators under workspace guarantees. */
@NullMarked
package dev.bambootray.core.scheduling;

import org.jspecify.annotations.NullMarked;
