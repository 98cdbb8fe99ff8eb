package dev.bambootray.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers cancellations of jobs that the owner does not know.
 *
 * <p>A transaction without an answer may be applied seconds later, so a job may be stored after its
 * cancellation was acknowledged. Its cancellation mark is kept until that cannot happen any more.
 */
final class EarlyCancellations {
  /**
   * Time for which a mark without a job is kept. It exceeds the time limit of a call together with
   * the delays of its transaction, also on a node that was suspended meanwhile.
   */
  static final long RETENTION_MS = 120_000;

  private final Map<String, Long> sinceMs = new LinkedHashMap<>();

  void add(String job, long nowMs) {
    sinceMs.putIfAbsent(job, nowMs);
  }

  boolean contains(String job) {
    return sinceMs.containsKey(job);
  }

  void remove(String job) {
    sinceMs.remove(job);
  }

  /** Returns the jobs whose marks need not be kept any longer, the oldest first. */
  List<String> expired(long nowMs) {
    return sinceMs.entrySet().stream()
        .takeWhile(entry -> nowMs - entry.getValue() > RETENTION_MS)
        .map(Map.Entry::getKey)
        .toList();
  }
}
