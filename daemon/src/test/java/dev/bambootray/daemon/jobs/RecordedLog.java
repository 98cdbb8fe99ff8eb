package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;

/** Records the lines of a decision log in memory. */
final class RecordedLog {
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private final DecisionLog log =
      new DecisionLog(new PrintStream(text, /* autoFlush= */ true, UTF_8), () -> 0);

  /** Returns the log to write to. */
  DecisionLog log() {
    return log;
  }

  /** Returns all lines written so far, without their times. */
  List<String> lines() {
    log.close();
    return text.toString(UTF_8).lines().map(RecordedLog::withoutTime).toList();
  }

  private static String withoutTime(String line) {
    return line.replace(" time=1970-01-01T00:00:00Z", "");
  }
}
