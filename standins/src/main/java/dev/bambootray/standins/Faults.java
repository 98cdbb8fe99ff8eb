package dev.bambootray.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.SplittableRandom;

/** Faults that a stand-in shows on demand. Thread-safe. */
public final class Faults {
  private final SplittableRandom random;
  volatile long latencyMs;
  volatile boolean away;
  private double lostAnswerShare;
  private int requestsPerSecond;
  private long windowSecond;
  private int requestsInWindow;

  private Faults(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns a set of faults, none active, whose random choices follow the seed. */
  public static Faults seeded(long seed) {
    return new Faults(seed);
  }

  /** Delays the handling of each request by the given milliseconds. */
  public void setLatencyMs(long value) {
    latencyMs = value;
  }

  /** Closes each connection that carries a request, without any effect. */
  public void setAway(boolean value) {
    away = value;
  }

  /** Lets the given share of requests take effect but closes the connection without an answer. */
  public synchronized void setLostAnswerShare(double value) {
    lostAnswerShare = value;
  }

  /** Answers requests beyond the given number in a second with 429; 0 for no limit, -1 for all. */
  public synchronized void setRequestsPerSecond(int value) {
    requestsPerSecond = value;
  }

  synchronized void applyJson(JsonNode change) {
    latencyMs = change.path("latencyMs").asLong(latencyMs);
    away = change.path("away").asBoolean(away);
    lostAnswerShare = change.path("lostAnswerShare").asDouble(lostAnswerShare);
    requestsPerSecond = change.path("requestsPerSecond").asInt(requestsPerSecond);
  }

  synchronized boolean nextAnswerIsLost() {
    return lostAnswerShare > 0 && random.nextDouble() < lostAnswerShare;
  }

  synchronized boolean isOverRate(long nowMs) {
    if (requestsPerSecond == 0) {
      return false;
    }
    long second = Math.floorDiv(nowMs, 1_000L);
    if (second != windowSecond) {
      windowSecond = second;
      requestsInWindow = 0;
    }
    requestsInWindow++;
    return requestsInWindow > requestsPerSecond;
  }
}
