package dev.bambootray.documents.json;

/**
 * An error in a document.
 *
 * @param file name of the document
 * @param place where the error is
 * @param path the item, for example {@code workers[3].port}; empty for the whole document
 * @param message what was found and what was expected
 */
public record Problem(String file, Place place, String path, String message) {

  /**
   * Returns the error on one line: {@code file:line:column: path: message}.
   *
   * <p>Control characters are replaced, since parts of the line come from the document.
   */
  @Override
  public String toString() {
    String where = file + ":" + place.line() + ":" + place.column() + ": ";
    String item = path.isEmpty() ? "" : path + ": ";
    return (where + item + message).replaceAll("\\p{Cntrl}+", " ");
  }
}
