package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestKey;
import java.util.List;

/**
 * Why a request is where it is.
 *
 * @param key the request
 * @param state {@code queued}, {@code reserving}, {@code running}, {@code reclaimed} or {@code
 *     unknown}
 * @param queuePosition place in the queue from 1, or 0 if it does not wait
 * @param reason why it waits, one sentence
 * @param waitsFor what it waits for: shapes, workers or jobs
 * @param wouldStartIf what would let it start
 * @param expectedStartInMs expected wait in milliseconds, or -1 if not known
 */
public record Explanation(
    RequestKey key,
    String state,
    int queuePosition,
    String reason,
    List<String> waitsFor,
    List<String> wouldStartIf,
    long expectedStartInMs) {

  /** Copies the lists. */
  public Explanation {
    waitsFor = List.copyOf(waitsFor);
    wouldStartIf = List.copyOf(wouldStartIf);
  }
}
