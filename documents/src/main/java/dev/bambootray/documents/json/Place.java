package dev.bambootray.documents.json;

/**
 * A place in a text.
 *
 * @param line the line, from 1
 * @param column the column in characters, from 1
 */
public record Place(int line, int column) {

  /** The first character of a text. */
  public static final Place START = new Place(1, 1);
}
