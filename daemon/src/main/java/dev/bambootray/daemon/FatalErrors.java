package dev.bambootray.daemon;

import org.tinylog.Logger;

/**
 * Ends the process after an error that leaves it unable to work.
 *
 * <p>A process that lives on without one of its threads still accepts callers. One that ends is
 * seen by its callers and by the other nodes, and can be started again.
 */
public final class FatalErrors {
  /** Exit code of a process that ends itself. */
  public static final int EXIT_CODE = 4;

  private FatalErrors() {}

  /** Ends the process because of an uncaught exception in any thread. */
  public static void endProcessOnUncaught() {
    Thread.setDefaultUncaughtExceptionHandler((thread, error) -> endProcess(error));
  }

  /**
   * Logs an error and ends the process at once. Shutdown hooks do not run, since they may wait for
   * the thread that has failed.
   */
  public static void endProcess(Throwable error) {
    try {
      Logger.error(error, "fatal: The process ends.");
    } finally {
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }
}
