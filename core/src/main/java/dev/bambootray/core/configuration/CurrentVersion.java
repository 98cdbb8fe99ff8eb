package dev.bambootray.core.configuration;

/**
 * The content of the row {@code config/current}. It holds the version without its text, because
 * every node reads the row every 2 s and the text of a large declaration has several 100 KiB.
 *
 * @param version the version; it equals the version of the row, because only publications write it
 * @param publishedAtMs when it was published, in milliseconds since the epoch
 * @param author who published it
 */
public record CurrentVersion(long version, long publishedAtMs, String author) {

  /** The state before the first publication. */
  public static final CurrentVersion NONE = new CurrentVersion(0, 0, "");
}
