/** Cost of the control parts against the size of a deployment. */
@NullMarked
package dev.bambootray.bench.control;

import org.jspecify.annotations.NullMarked;
