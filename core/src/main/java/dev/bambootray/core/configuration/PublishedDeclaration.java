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

  /** Stands for the state before the first publish. */
  public static final PublishedDeclaration NONE = new PublishedDeclaration(0, "", 0, "");

  /** Returns what the row {@code config/current} tells of this declaration. */
  public CurrentVersion pointer() {
    return new CurrentVersion(version, publishedAtMs, author);
  }
}
