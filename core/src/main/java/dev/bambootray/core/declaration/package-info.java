/** The declaration that operators publish: places, services, workspaces, templates and policy. */
@NullMarked
package dev.bambootray.core.declaration;

import org.jspecify.annotations.NullMarked;
