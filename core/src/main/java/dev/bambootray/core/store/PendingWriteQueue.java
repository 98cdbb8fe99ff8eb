package dev.bambootray.core.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Queues the writes that wait to be sent and groups them into transactions, in order of arrival.
 */
final class PendingWriteQueue {
  /** Maximum number of rows in a transaction. */
  static final int MAX_ROWS = 64;

  /** Maximum number of bytes in a transaction of several writes; a larger write is sent alone. */
  static final long MAX_GROUP_BYTES = 256 * 1024;

  /**
   * Maximum number of waiting writes examined for a transaction, which limits the time of a
   * decision.
   */
  private static final int MAX_LOOKAHEAD = 256;

  private final Deque<Submission> urgent = new ArrayDeque<>();
  private final Deque<Submission> normal = new ArrayDeque<>();
  private final Map<String, Integer> normalKeys = new HashMap<>();
  private long bytes;
  private long nextDropMs = Long.MAX_VALUE;

  int size() {
    return urgent.size() + normal.size();
  }

  long bytes() {
    return bytes;
  }

  void add(Submission submission) {
    // An urgent write must not overtake an earlier write of the same row.
    boolean overtakes = submission.keys().stream().anyMatch(normalKeys::containsKey);
    Deque<Submission> queue = submission.urgent() && !overtakes ? urgent : normal;
    queue.addLast(submission);
    added(queue, submission);
  }

  /**
   * Puts writes back at the front, each to be sent in a transaction of its own if {@code single}.
   */
  void putBack(List<Submission> submissions, boolean single) {
    for (int i = submissions.size() - 1; i >= 0; i--) {
      Submission next = submissions.get(i);
      Submission back = single ? next.asSingle() : next;
      Deque<Submission> queue = back.urgent() ? urgent : normal;
      queue.addFirst(back);
      added(queue, back);
    }
  }

  /** Removes and returns the writes that were not sent before their time limit. */
  List<Submission> takeOverdue(long nowMs) {
    if (nowMs <= nextDropMs) {
      return List.of();
    }
    List<Submission> overdue = new ArrayList<>();
    nextDropMs = Long.MAX_VALUE;
    for (Deque<Submission> queue : List.of(urgent, normal)) {
      for (Iterator<Submission> it = queue.iterator(); it.hasNext(); ) {
        Submission next = it.next();
        if (nowMs > next.dropAfterMs()) {
          it.remove();
          removed(queue, next);
          overdue.add(next);
        } else {
          nextDropMs = Math.min(nextDropMs, next.dropAfterMs());
        }
      }
    }
    return overdue;
  }

  boolean hasUrgent() {
    return !urgent.isEmpty();
  }

  /**
   * Removes and returns the writes of the next transaction, or none if all wait for rows that are
   * being written.
   *
   * <p>A write never overtakes an earlier one of the same row.
   *
   * @param busyKeys rows that are being written
   * @param urgentOnly whether only urgent writes may go
   */
  List<Submission> takeGroup(Set<String> busyKeys, boolean urgentOnly) {
    Set<String> blocked = new HashSet<>(busyKeys);
    List<Submission> group = new ArrayList<>();
    takeFrom(urgent, blocked, group);
    if (!urgentOnly && group.isEmpty()) {
      // An urgent write that waits for its row also holds back later writes of the row.
      urgent.forEach(waiting -> blocked.addAll(waiting.keys()));
      takeFrom(normal, blocked, group);
    }
    return group;
  }

  private void takeFrom(Deque<Submission> queue, Set<String> blocked, List<Submission> group) {
    int rows = 0;
    long groupBytes = 0;
    int seen = 0;
    for (Iterator<Submission> it = queue.iterator(); it.hasNext() && seen < MAX_LOOKAHEAD; seen++) {
      Submission next = it.next();
      boolean free = next.keys().stream().noneMatch(blocked::contains);
      boolean fits =
          group.isEmpty()
              || (!next.single()
                  && rows + next.writes().size() <= MAX_ROWS
                  && groupBytes + next.bytes() <= MAX_GROUP_BYTES);
      blocked.addAll(next.keys());
      if (free && fits) {
        it.remove();
        removed(queue, next);
        group.add(next);
        rows += next.writes().size();
        groupBytes += next.bytes();
        if (next.single() || next.urgent()) {
          return;
        }
      }
    }
  }

  private void added(Deque<Submission> queue, Submission submission) {
    bytes += submission.bytes();
    nextDropMs = Math.min(nextDropMs, submission.dropAfterMs());
    if (queue == normal) {
      submission.keys().forEach(key -> normalKeys.merge(key, 1, Integer::sum));
    }
  }

  private void removed(Deque<Submission> queue, Submission submission) {
    bytes -= submission.bytes();
    if (queue == normal) {
      submission
          .keys()
          .forEach(key -> normalKeys.computeIfPresent(key, (k, n) -> n > 1 ? n - 1 : null));
    }
  }

  /**
   * A waiting write.
   *
   * @param id number of the write
   * @param writes its rows
   * @param urgent whether it is sent before other writes
   * @param single whether it is sent in a transaction of its own, so that a conflict concerns no
   *     other write
   * @param bytes bytes of its keys and values
   * @param keys keys of its rows
   * @param dropAfterMs when it is dropped if it was not sent yet
   */
  record Submission(
      long id,
      List<RowWrite> writes,
      boolean urgent,
      boolean single,
      long bytes,
      Set<String> keys,
      long dropAfterMs) {

    static Submission of(WriteQueueEvent.WriteSubmitted submitted) {
      long bytes = 0;
      Set<String> keys = new HashSet<>();
      for (RowWrite write : submitted.writes()) {
        keys.add(write.key());
        String value = write.value();
        bytes += write.key().length();
        bytes += value == null ? 0 : value.getBytes(StandardCharsets.UTF_8).length;
      }
      return new Submission(
          submitted.id(),
          submitted.writes(),
          submitted.urgent(),
          false,
          bytes,
          keys,
          submitted.dropAfterMs());
    }

    Submission asSingle() {
      return new Submission(id, writes, urgent, true, bytes, keys, dropAfterMs);
    }
  }
}
