package dev.bambootray.adapters.telemetry;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/** Writes log entries to the standard error stream after {@link Redaction}; used by tinylog. */
public final class RedactingWriter extends AbstractFormatPatternWriter {
  private final PrintStream out;

  /** Returns a writer with the properties of tinylog's configuration. */
  public RedactingWriter(Map<String, String> properties) {
    this(properties, new FileOutputStream(FileDescriptor.err));
  }

  RedactingWriter(Map<String, String> properties, OutputStream out) {
    super(properties);
    this.out = new PrintStream(out, true, UTF_8);
  }

  @Override
  public void write(LogEntry entry) {
    out.print(Redaction.redact(render(entry)));
  }

  @Override
  public void flush() {
    out.flush();
  }

  @Override
  public void close() {
    out.flush();
  }
}
