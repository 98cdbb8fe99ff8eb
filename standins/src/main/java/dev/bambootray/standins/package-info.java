/** Small stand-ins for the platform and its workers, for tests and the demo. */
@NullMarked
package dev.bambootray.standins;

import org.jspecify.annotations.NullMarked;
