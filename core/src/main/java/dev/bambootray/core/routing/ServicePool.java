package dev.bambootray.core.routing;

import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.TemplateId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The targets of one service in the region and the requests that wait for them. */
final class ServicePool extends TimerEntry {
  /** Run time that is assumed before any run has ended, in milliseconds. */
  private static final double UNKNOWN_RUN_MS = 100;

  /** Weight of the last run in the mean run time of the service. */
  private static final double MEAN_GAIN = 0.01;

  ServiceDeclaration service;
  final FairQueue queue = new FairQueue();
  final List<Target> targets = new ArrayList<>();
  final ReadyTargetIndex ready = new ReadyTargetIndex();
  final RetryBudget budget = new RetryBudget();
  private final Map<TemplateId, RunTimeStatistics> runTimes = new HashMap<>();
  private double meanRunMs = UNKNOWN_RUN_MS;
  private int freeSlots;
  private int capacity;
  int sendsSinceExploration;

  /** Time since which no target has been open, or -1 if one is open. */
  long noTargetSinceMs;

  ServicePool(ServiceDeclaration service, long nowMs) {
    this.service = service;
    this.noTargetSinceMs = nowMs;
  }

  RunTimeStatistics runTimesOf(TemplateDeclaration template) {
    RunTimeStatistics known = runTimes.get(template.id());
    if (known == null) {
      known = new RunTimeStatistics(template.expectedRunMs());
      runTimes.put(template.id(), known);
    }
    return known;
  }

  void recordRun(long runMs) {
    meanRunMs += (runMs - meanRunMs) * MEAN_GAIN;
  }

  double meanRunMs() {
    return meanRunMs;
  }

  /** Returns the free slots of open targets that are neither slow nor paced. */
  int freeSlots() {
    return freeSlots;
  }

  /** Returns the slots of open targets within their concurrency limits, taken or not. */
  int capacity() {
    return capacity;
  }

  /** Adds the changes of one target to the counts of the pool. */
  void adjustCounts(int moreFreeSlots, int moreCapacity) {
    freeSlots += moreFreeSlots;
    capacity += moreCapacity;
  }

  int totalSlots() {
    return targets.stream().filter(target -> target.isJoined()).mapToInt(Target::slots).sum();
  }

  /** Returns how long the queue takes to drain, in milliseconds. */
  double queueWaitMs() {
    return queue.size() * meanRunMs / Math.max(1, capacity());
  }

  /**
   * Returns the expected wait of a request behind the given number of other requests, in
   * milliseconds.
   */
  long expectedWaitMs(double ahead) {
    int capacity = capacity();
    if (capacity == 0) {
      return Long.MAX_VALUE / 4;
    }
    if (queue.size() == 0 && freeSlots() > 0) {
      return 0;
    }
    return (long) Math.ceil((ahead + 1) * Math.max(1, meanRunMs) / capacity);
  }
}
