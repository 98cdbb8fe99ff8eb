package dev.bambootray.adapters.telemetry;

import dev.bambootray.core.model.RequestKey;
import org.tinylog.Logger;

/**
 * Writes log entries of one part, with its prefix and, if they concern a request, its key: {@code
 * route: [w1/k7] sent to worker a3}.
 */
public final class PartLog {
  private final String prefix;

  private PartLog(String prefix) {
    this.prefix = prefix;
  }

  /** Returns the log of a part. */
  public static PartLog of(LogPart part) {
    return new PartLog(part.prefix() + " ");
  }

  /** Returns the log of the same part for one request. */
  public PartLog forRequest(RequestKey key) {
    return new PartLog(prefix + "[" + key.path() + "] ");
  }

  /** Writes a debug entry; each {@code {}} is replaced by an argument. */
  public void debug(String message, Object... arguments) {
    Logger.debug(prefix + message, arguments);
  }

  /** Writes an entry about normal operation. */
  public void info(String message, Object... arguments) {
    Logger.info(prefix + message, arguments);
  }

  /** Writes an entry about something that is handled but should be looked at. */
  public void warn(String message, Object... arguments) {
    Logger.warn(prefix + message, arguments);
  }

  /** Writes an entry about something that needs an operator. */
  public void error(String message, Object... arguments) {
    Logger.error(prefix + message, arguments);
  }
}
