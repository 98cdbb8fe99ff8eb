package dev.bambootray.jobs.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds how many calls of a kind are under way, so that a busy machine answers those it has sent
 * within their limit instead of sending all and answering none in time.
 *
 * <p>The bound is halved when more than a few calls are not answered in time. Until then it doubles
 * with each round of calls that are answered early; later it grows by a constant.
 *
 * @param <K> tells calls under way apart
 */
final class CallWindow<K> {
  /** Smallest bound, so that a few workers that do not answer cannot stop all calls. */
  static final int MIN_CALLS = 16;

  /** Growth of the bound while as many calls as it allows are answered. */
  private static final double GROWTH_CALLS = 16;

  /** Unanswered calls below which the bound stays, since single workers fail at any time. */
  private static final int MIN_MISSED = 8;

  /**
   * Recent calls of which one may be unanswered. Overload delays all calls, while workers that fail
   * are a small part of a pool.
   */
  private static final int CALLS_PER_MISSED = 8;

  /** A call under way; calls are numbered in the order in which they were sent. */
  private record Sent(long number, long ms) {}

  private final int initialCalls;
  private final long limitMs;
  private final Map<K, Sent> underWay = new HashMap<>();
  private double bound;
  private long nextNumber;

  /** First call that was sent after the bound was last halved. */
  private long firstNumber;

  private int answered;
  private int missed;

  /**
   * Creates a window.
   *
   * @param initialCalls bound at the start
   * @param limitMs time limit of each call
   */
  CallWindow(int initialCalls, long limitMs) {
    this.initialCalls = initialCalls;
    bound = initialCalls;
    this.limitMs = limitMs;
  }

  /** Returns whether calls may be sent together; many may exceed the bound by half of it. */
  boolean hasRoom(int calls) {
    int size = (int) bound;
    return calls == 0 || underWay.size() + Math.min(calls, size / 2) <= size;
  }

  /** Notes that a call was sent. */
  void onSent(K call, long nowMs) {
    underWay.put(call, new Sent(nextNumber++, nowMs));
  }

  /** Notes the end of a call that tells nothing about the time that calls take. */
  void forget(K call) {
    underWay.remove(call);
  }

  /**
   * Notes the end of a call; one that is not under way is ignored.
   *
   * @param call the call
   * @param isAnswered whether its worker has answered
   * @param callsWait whether other calls wait for room
   * @param nowMs time of the end
   */
  void onEnded(K call, boolean isAnswered, boolean callsWait, long nowMs) {
    Sent sent = underWay.remove(call);
    if (sent == null) {
      return;
    }
    long durationMs = nowMs - sent.ms;
    if (isAnswered) {
      onAnswered(durationMs, callsWait);
    } else if (durationMs >= limitMs && sent.number >= firstNumber) {
      onMissed();
    }
  }

  private void onAnswered(long durationMs, boolean callsWait) {
    answered++;
    boolean limiting = callsWait || bound < initialCalls;
    if (limiting && firstNumber == 0 && durationMs <= limitMs / 4) {
      bound += 1;
    } else if (limiting && durationMs <= limitMs / 2) {
      bound += GROWTH_CALLS / bound;
    }
    if (answered >= bound) {
      answered /= 2; // Older outcomes count less.
      missed /= 2;
    }
  }

  private void onMissed() {
    missed++;
    if (missed >= MIN_MISSED && missed * CALLS_PER_MISSED > answered + missed) {
      bound = Math.max(MIN_CALLS, bound / 2);
      firstNumber = nextNumber;
      answered = 0;
      missed = 0;
    }
  }
}
