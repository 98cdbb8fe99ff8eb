package dev.bambootray.jobs.worker;

import java.util.List;

/** Outcome of a call that extends the lease of a worker's runs and lists them. */
public sealed interface HoldReply {
  /**
   * The worker listed its runs.
   *
   * @param clockMs time by the worker's clock
   * @param bornMs start of the worker's process in milliseconds since the epoch, 0 if unknown
   * @param connection identity of the connection over which the list came, 0 if unknown
   * @param running runs at the worker
   * @param ended ends of runs that were not acknowledged, oldest first
   * @param endsCutOff whether {@code ended} is full, so that further ends may be missing from it
   */
  record Listed(
      long clockMs,
      long bornMs,
      long connection,
      List<ListedRun> running,
      List<RunEnd> ended,
      boolean endsCutOff)
      implements HoldReply {
    /** Copies the lists. */
    public Listed {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }
  }

  /** The worker has restarted and lost all earlier runs. */
  record WorkerRestarted() implements HoldReply {}

  /** The worker refused the call because it has accepted a later epoch. */
  record Fenced() implements HoldReply {}

  /** The call was not sent, as the connection that it names is closed or in use. */
  record NotSent() implements HoldReply {}

  /**
   * The call failed or its answer is unusable.
   *
   * @param detail description of the error
   */
  record Failed(String detail) implements HoldReply {}
}
