package dev.bambootray.core.configuration;

/**
 * The content of the row {@code config/current}. It names the version without its text, because
 * every node reads the row every 2 s and the text of a large declaration has several 100 KiB.
 *
 * @param version the version; the row has the same version in the table, as nothing else writes it
 * @param publishedAtMs when it was published, in milliseconds since the epoch
 * @param author who published it
 */
public record CurrentVersion(long version, long publishedAtMs, String author) {

  /** Stands for the state before the first publish. */
  public static final CurrentVersion NONE = new CurrentVersion(0, 0, "");
}
