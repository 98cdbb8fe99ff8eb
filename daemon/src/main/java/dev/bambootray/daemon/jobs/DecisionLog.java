package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;

/**
 * Writes one line for each decision to standard output without blocking the caller.
 *
 * <p>Each line ends with the wall-clock time of its decision in UTC, so that lines of several nodes
 * can be merged.
 *
 * <p>Lines that do not fit into the queue are dropped; their number is written after the next line.
 */
public final class DecisionLog implements AutoCloseable {
  private static final int QUEUE_LINES = 4_096;
  private static final int MAX_LINE_CHARS = 600;
  private static final Pattern UNPRINTABLE = Pattern.compile("[\\p{Cc}\\u2028\\u2029]");

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final LongSupplier wallMs;
  private final Thread writer;

  /** Creates a log that writes nothing until {@link #close}. */
  DecisionLog(PrintStream out) {
    this(out, System::currentTimeMillis);
  }

  /**
   * Creates a log that writes nothing until {@link #close}.
   *
   * @param out where the lines go
   * @param wallMs wall-clock time in milliseconds since the epoch
   */
  DecisionLog(PrintStream out, LongSupplier wallMs) {
    this.out = out;
    this.wallMs = wallMs;
    writer = new Thread(this::write, "decision-log");
    writer.setDaemon(true);
  }

  /** Returns a log that writes to standard output. */
  public static DecisionLog start() {
    DecisionLog log =
        new DecisionLog(new PrintStream(new FileOutputStream(FileDescriptor.out), true, UTF_8));
    log.writer.start();
    return log;
  }

  /**
   * Queues a line for writing.
   *
   * @param part prefix that names the component, for example "sched:"
   * @param subject identifier of the job, worker or node that the decision concerns
   * @param text the decision and the inputs that led to it
   */
  public void line(String part, String subject, String text) {
    String line = part + " id=" + subject + " " + text;
    String cut = line.length() <= MAX_LINE_CHARS ? line : line.substring(0, MAX_LINE_CHARS);
    // Subjects may come from other writers; a line break in one would forge a line.
    String printable = UNPRINTABLE.matcher(cut).replaceAll("?");
    if (!lines.offer(printable + " time=" + Instant.ofEpochMilli(wallMs.getAsLong()))) {
      dropped.incrementAndGet();
    }
  }

  /** Queues a line about an unexpected exception and the stack frame that threw it. */
  public void failure(String part, String subject, String text, Throwable fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    line(part, subject, text + " error=" + fault + " at=" + (trace.length > 0 ? trace[0] : "?"));
  }

  /** Returns the number of lines dropped since the start. */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void close() {
    String line = lines.poll();
    while (line != null) {
      out.println(line);
      line = lines.poll();
    }
    writer.interrupt();
  }

  private void write() {
    long reported = 0;
    try {
      while (true) {
        out.println(lines.take());
        long now = dropped.get();
        if (now > reported) {
          out.println("log: id=- dropped lines=" + (now - reported));
          reported = now;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
