import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes down what was sent, answered and run. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%8.3f %s%n", nowMs() / 1e3, text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
