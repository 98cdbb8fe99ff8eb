package dev.bambootray.jobs.worker;

import java.util.List;

/** Outcome of a call that extends the lease of a worker's runs and lists them. */
public sealed interface HoldReply {
  /**
   * What the worker runs.
   *
   * @param clockMs the worker's clock
   * @param bornMs start of the worker's life in milliseconds since the epoch, 0 if unknown
   * @param running its runs
   * @param ended ends that were not acknowledged
   */
  record Listed(long clockMs, long bornMs, List<RunningTask> running, List<RunEnd> ended)
      implements HoldReply {
    /** Copies the lists. */
    public Listed {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }
  }

  /** Another life of the worker answered: what ran before is gone. */
  record OtherLife() implements HoldReply {}

  /** A later owner has spoken to the worker. */
  record Fenced() implements HoldReply {}

  /**
   * No usable answer.
   *
   * @param detail what went wrong
   */
  record Failed(String detail) implements HoldReply {}
}
