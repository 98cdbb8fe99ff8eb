package dev.bambootray.adapters.telemetry;

import java.util.Locale;
import java.util.Map;
import org.tinylog.Level;
import org.tinylog.configuration.Configuration;

/** Configures tinylog for a node: one line for each entry, without secrets. */
public final class LogSetup {
  private static final String FORMAT = "{date: yyyy-MM-dd'T'HH:mm:ss.SSS} {level} {message}";

  private LogSetup() {}

  /**
   * Sets the configuration; must be called before the first log entry, because tinylog freezes its
   * configuration then.
   */
  public static void configure(Level level) {
    Configuration.replace(properties(level));
  }

  static Map<String, String> properties(Level level) {
    return Map.of(
        "writer",
        RedactingWriter.class.getName(),
        "writer.format",
        FORMAT,
        "level",
        level.name().toLowerCase(Locale.ROOT),
        "autoshutdown",
        "true");
  }
}
