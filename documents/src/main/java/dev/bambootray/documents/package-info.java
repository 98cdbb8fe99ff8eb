/**
 * Reads declarations and settings from JSON with comments and reports every error with its place.
 */
@NullMarked
package dev.bambootray.documents;

import org.jspecify.annotations.NullMarked;
