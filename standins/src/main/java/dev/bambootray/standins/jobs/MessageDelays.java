package dev.bambootray.standins.jobs;

/** Delays the next messages of one kind by an additional time. */
final class MessageDelays {
  private int remaining;
  private long delayMs;

  /**
   * Sets the delay of the next messages.
   *
   * @param count number of messages to delay
   * @param eachMs additional delay of each of them
   */
  void delayNext(int count, long eachMs) {
    remaining = count;
    delayMs = eachMs;
  }

  /** Returns the additional delay of a message that is sent now. */
  long takeMs() {
    if (remaining == 0) {
      return 0;
    }
    remaining--;
    return delayMs;
  }
}
