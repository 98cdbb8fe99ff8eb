/** Value types shared by all packages: identifiers, shapes, requests and answers. */
@NullMarked
package dev.bambootray.core.model;

import org.jspecify.annotations.NullMarked;
