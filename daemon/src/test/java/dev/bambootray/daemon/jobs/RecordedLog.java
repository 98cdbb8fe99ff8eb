package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;

/** Records the lines of a decision log in memory. */
final class RecordedLog {
  private final ByteArrayOutputStream text = new ByteArrayOutputStream();
  private final DecisionLog log =
      DecisionLog.writingOnClose(new PrintStream(text, /* autoFlush= */ true, UTF_8));

  /** Returns the log to write to. */
  DecisionLog log() {
    return log;
  }

  /** Returns all lines written so far. */
  List<String> lines() {
    log.close();
    return text.toString(UTF_8).lines().toList();
  }
}
