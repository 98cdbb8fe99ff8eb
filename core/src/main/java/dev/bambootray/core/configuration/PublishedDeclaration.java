package dev.bambootray.core.configuration;

/**
 * The content of a row {@code config/history/<version>}.
 *
 * @param version version of the declaration
 * @param text text of the declaration
 * @param publishedAtMs when it was published, in milliseconds since the epoch
 * @param author who published it
 */
public record PublishedDeclaration(long version, String text, long publishedAtMs, String author) {

  /** The state before the first publication. */
  public static final PublishedDeclaration NONE = new PublishedDeclaration(0, "", 0, "");

  /** Returns the content of the row {@code config/current} for this declaration. */
  public CurrentVersion toCurrentVersion() {
    return new CurrentVersion(version, publishedAtMs, author);
  }
}
