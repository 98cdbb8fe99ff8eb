/** Clients of the platform: table, objects, VM list and worker agents. */
@NullMarked
package dev.bambootray.adapters.platform;

import org.jspecify.annotations.NullMarked;
