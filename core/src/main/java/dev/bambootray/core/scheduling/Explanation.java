package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestKey;
import java.util.List;

/**
 * Explains the state of a request and what it waits for.
 *
 * @param key the request
 * @param state {@code queued}, {@code reserving}, {@code running}, {@code reclaimed} or {@code
 *     unknown}
 * @param queuePosition position in the queue from 1, or 0 if the request is not queued
 * @param reason why the request is in this state, in one sentence
 * @param waitsFor the shapes, workers or jobs that it waits for
 * @param wouldStartIf conditions under which it would start
 * @param expectedStartInMs expected wait in milliseconds, or -1 if unknown
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
