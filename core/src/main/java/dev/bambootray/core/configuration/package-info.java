/** Publication of declarations and the version that is in force on each node. */
@NullMarked
package dev.bambootray.core.configuration;

import org.jspecify.annotations.NullMarked;
