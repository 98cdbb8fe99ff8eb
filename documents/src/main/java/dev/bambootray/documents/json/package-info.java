/** Reads JSON with comments into values that know their place, within fixed bounds. */
@NullMarked
package dev.bambootray.documents.json;

import org.jspecify.annotations.NullMarked;
