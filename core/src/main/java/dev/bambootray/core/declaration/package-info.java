/**
 * The declaration that operators publish: regions, workers, services, workspaces, templates and
 * policy.
 */
@NullMarked
package dev.bambootray.core.declaration;

import org.jspecify.annotations.NullMarked;
