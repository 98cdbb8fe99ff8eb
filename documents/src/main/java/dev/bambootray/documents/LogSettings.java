package dev.bambootray.documents;

/**
 * The log.
 *
 * @param level lowest level that is written
 */
public record LogSettings(Level level) {

  /** Levels of the log, lowest first. */
  public enum Level {
    /** Every step. */
    TRACE,
    /** Decisions. */
    DEBUG,
    /** Changes of state. */
    INFO,
    /** Faults that the node copes with. */
    WARN,
    /** Faults that need an operator. */
    ERROR
  }

  /** Returns the level info. */
  public static LogSettings defaults() {
    return new LogSettings(Level.INFO);
  }
}
