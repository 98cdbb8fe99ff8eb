package dev.bambootray.documents.json;

/**
 * An error in a document.
 *
 * @param file name of the document
 * @param place where the error is
 * @param path the item, for example {@code workers[3].port}; empty for the whole document
 * @param found what is there
 * @param expected what should be there
 */
public record Problem(String file, Place place, String path, String found, String expected) {

  /**
   * Returns the error on one line: {@code file:line:column: path: found ..., expected ...}.
   *
   * <p>Control characters are replaced, since parts of the line come from the document.
   */
  @Override
  public String toString() {
    String where = file + ":" + place.line() + ":" + place.column() + ": ";
    String item = path.isEmpty() ? "" : path + ": ";
    return (where + item + "found " + found + ", expected " + expected)
        .replaceAll("\\p{Cntrl}+", " ");
  }
}
