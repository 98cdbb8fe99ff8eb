package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;

final class DecisionLogTest {
  private static final String TIME = " time=2026-12-05T20:39:52.123Z";

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private final DecisionLog log =
      new DecisionLog(new PrintStream(written, true, UTF_8), () -> 1_796_503_192_123L);

  @Test
  void writesOneLineOfBoundedLengthForEachDecision() {
    // Guards against identifiers of other writers that forge or flood the log.
    log.line("worker:", "a\r\nowner: id=n1\u0000\u001b\u2028", "listed");
    log.failure("worker:", "b", "failed", new IllegalStateException("x".repeat(100_000)));
    log.close();
    String[] lines = written.toString(UTF_8).split(System.lineSeparator());
    assertEquals("worker: id=a??owner: id=n1??? listed" + TIME, lines[0]);
    assertEquals(600 + TIME.length(), lines[1].length());
    assertEquals(2, lines.length);
  }
}
