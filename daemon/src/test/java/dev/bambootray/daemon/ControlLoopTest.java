package dev.bambootray.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ControlLoopTest {
  private static final long TIMEOUT_S = 10;

  private final BlockingQueue<Throwable> fatalErrors = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();
  private final ControlLoop<Runnable> loop =
      ControlLoop.create(Runnable::run, nanos -> {}, "control-test", fatalErrors::add);

  /** Guards against a process that answers callers after its control thread has ended. */
  @Test
  void reportsAnErrorThatEndsItsThread() throws InterruptedException {
    Error error = new OutOfMemoryError("test");
    loop.start();
    loop.post(
        () -> {
          throw error;
        });
    assertSame(error, fatalErrors.poll(TIMEOUT_S, TimeUnit.SECONDS));
    loop.close();
  }

  @Test
  void goesOnAfterAnException() throws InterruptedException {
    loop.start();
    loop.post(
        () -> {
          throw new IllegalStateException("test");
        });
    loop.post(() -> handled.add("next"));
    assertEquals("next", handled.poll(TIMEOUT_S, TimeUnit.SECONDS));
    assertEquals(0, fatalErrors.size());
    loop.close();
  }
}
