package dev.bambootray.core.worker;

import dev.bambootray.core.model.AttemptToken;

/**
 * Identifies one task on a worker: a member of an attempt.
 *
 * @param attempt the attempt that the task belongs to
 * @param member index of the gang member, from 0; 0 for a service request
 */
public record TaskId(AttemptToken attempt, int member) {

  /** Returns the text form {@code <attempt>~<member>}. */
  public String text() {
    return attempt.value() + "~" + member;
  }

  /** Parses the form that {@link #text()} returns. */
  public static TaskId parse(String text) {
    int separator = text.lastIndexOf('~');
    if (separator < 0) {
      throw new IllegalArgumentException("invalid task identifier \"" + text + "\"");
    }
    return new TaskId(
        AttemptToken.of(text.substring(0, separator)),
        Integer.parseInt(text.substring(separator + 1)));
  }

  @Override
  public String toString() {
    return text();
  }
}
