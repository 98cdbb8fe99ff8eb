/** Which node owns which region, by conditional writes of rows and epochs. */
@NullMarked
package dev.bambootray.core.ownership;

import org.jspecify.annotations.NullMarked;
