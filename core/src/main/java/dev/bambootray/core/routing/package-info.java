/** Choice of a target for each service request and of the region that serves it. */
@NullMarked
package dev.bambootray.core.routing;

import org.jspecify.annotations.NullMarked;
