package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Queues waiting jobs in lanes of equal jobs, so that a placement round examines one job of each
 * lane instead of every job.
 */
final class JobQueue {
  /**
   * The properties that all jobs of a lane share.
   *
   * @param workspace their workspace
   * @param template their template
   * @param repeatable whether they may run more than once
   * @param urgent whether they claim guaranteed capacity at once
   */
  record LaneKey(WorkspaceId workspace, TemplateId template, boolean repeatable, boolean urgent) {
    static LaneKey of(Job job) {
      return new LaneKey(
          job.workspace(),
          job.request.template().id(),
          job.repeatable(),
          job.request.spec().urgent());
    }
  }

  private final Map<LaneKey, SortedSet<Job>> lanes = new LinkedHashMap<>();
  private final PriorityQueue<Job> delayed =
      new PriorityQueue<>(Comparator.comparingLong((Job job) -> job.notBeforeMs));
  private final PriorityQueue<Job> byDeadline =
      new PriorityQueue<>(Comparator.comparingLong((Job job) -> job.request.spec().deadlineAtMs()));
  private final Object2IntOpenHashMap<WorkspaceId> counts = new Object2IntOpenHashMap<>();
  private int size;

  /**
   * Adds a new job, or one that waits for a further attempt; it stays out of its lane until it is
   * due.
   */
  void add(Job job, long nowMs) {
    if (job.waiting) {
      return;
    }
    job.waiting = true;
    counts.addTo(job.workspace(), 1);
    size++;
    byDeadline.add(job);
    if (job.notBeforeMs > nowMs) {
      delayed.add(job);
    } else {
      lane(job).add(job);
    }
  }

  private SortedSet<Job> lane(Job job) {
    return lanes.computeIfAbsent(
        LaneKey.of(job),
        key -> new TreeSet<>(Comparator.comparingLong((Job other) -> other.sequence)));
  }

  /** Removes a job that starts, claims a place or was answered. */
  void remove(Job job) {
    if (!job.waiting) {
      return;
    }
    job.waiting = false;
    counts.addTo(job.workspace(), -1);
    size--;
    LaneKey key = LaneKey.of(job);
    SortedSet<Job> lane = lanes.get(key);
    if (lane != null && lane.remove(job) && lane.isEmpty()) {
      lanes.remove(key);
    }
  }

  /** Moves the delayed jobs that are due into their lanes. */
  void releaseDue(long nowMs) {
    while (!delayed.isEmpty() && delayed.peek().notBeforeMs <= nowMs) {
      Job job = delayed.poll();
      if (job.waiting) {
        lane(job).add(job);
      }
    }
  }

  /** Passes every waiting job whose deadline has passed to the consumer. */
  void expire(long nowMs, Consumer<Job> consumer) {
    while (!byDeadline.isEmpty() && byDeadline.peek().request.spec().deadlineAtMs() <= nowMs) {
      Job job = byDeadline.poll();
      if (job.waiting) {
        consumer.accept(job);
      }
    }
  }

  Collection<SortedSet<Job>> lanes() {
    return lanes.values();
  }

  int queuedCount(WorkspaceId workspace) {
    return counts.getInt(workspace);
  }

  int size() {
    return size;
  }
}
