/** Which declaration is in force and whether that is known recently enough. */
@NullMarked
package dev.bambootray.core.configuration;

import org.jspecify.annotations.NullMarked;
