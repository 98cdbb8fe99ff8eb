package dev.bambootray.adapters.http;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs an action on an event loop once the loop has read what had arrived at its sockets. A loop
 * that was held up may run a task although it has not read for a long time; a connection or
 * listener that is closed then resets requests that have already arrived.
 */
final class LoopReads {
  /** A task with a delay is not run before the loop has read from its sockets again. */
  private static final long ROUND_MS = 10;

  /** After a longer round the loop may have been held up since its last read. */
  private static final long LONGEST_ROUND_MS = 50;

  private LoopReads() {}

  /**
   * Runs an action on the loop; what arrived more than a round before it has been read.
   *
   * @param loop event loop of the sockets
   * @param action what to do then
   */
  static void catchUp(EventExecutor loop, Runnable action) {
    // A delay that is set by another thread may be over before the loop knows of the task.
    loop.execute(() -> beginRound(loop, action));
  }

  private static void beginRound(EventExecutor loop, Runnable action) {
    long beganNanos = System.nanoTime();
    var unused =
        loop.schedule(
            () -> endRound(loop, action, System.nanoTime() - beganNanos),
            ROUND_MS,
            TimeUnit.MILLISECONDS);
  }

  private static void endRound(EventExecutor loop, Runnable action, long lengthNanos) {
    if (TimeUnit.NANOSECONDS.toMillis(lengthNanos) > LONGEST_ROUND_MS) {
      beginRound(loop, action);
      return;
    }
    action.run();
  }
}
