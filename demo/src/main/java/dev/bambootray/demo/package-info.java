/** The demonstration run of whole deployments in one process. */
@NullMarked
package dev.bambootray.demo;

import org.jspecify.annotations.NullMarked;
