package dev.bambootray.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Indexes the targets with free slots by their number of runs, so that the least loaded one is
 * found without a scan of all targets. Failing and slow targets are kept in a separate list,
 * because they are checked one by one.
 */
final class ReadyTargetIndex {
  private final List<List<Target>> byRuns = new ArrayList<>();
  private final List<Target> suspects = new ArrayList<>();

  /** Moves a target to the list that matches its current state. */
  void update(Target target) {
    List<Target> newList = listFor(target);
    List<Target> oldList = target.readyList;
    if (newList == oldList) {
      return;
    }
    if (oldList != null) {
      Target last = oldList.remove(oldList.size() - 1);
      if (last != target) {
        oldList.set(target.readyIndex, last);
        last.readyIndex = target.readyIndex;
      }
    }
    target.readyList = newList;
    if (newList != null) {
      target.readyIndex = newList.size();
      newList.add(target);
    }
  }

  private @Nullable List<Target> listFor(Target target) {
    if (target.freeSlots() == 0) {
      return null;
    }
    if (target.isDeprioritized() || target.failureStreak() > 0) {
      return suspects;
    }
    while (byRuns.size() <= target.usedSlots()) {
      byRuns.add(new ArrayList<>());
    }
    return byRuns.get(target.usedSlots());
  }

  /** Returns the failing or slow targets that have a free slot. */
  List<Target> suspects() {
    return suspects;
  }

  /**
   * Returns one of the least loaded healthy targets on which the request has not failed, or null.
   */
  @Nullable Target leastLoaded(
      PendingRequest request, @Nullable Target excluded, UniformRandomProvider random) {
    for (int runs = 0; runs < byRuns.size(); runs++) {
      List<Target> candidates = byRuns.get(runs);
      int size = candidates.size();
      int offset = size > 1 ? random.nextInt(size) : 0;
      for (int i = 0; i < size; i++) {
        int index = i + offset;
        Target target = candidates.get(index < size ? index : index - size);
        if (target != excluded && !request.hasFailedOn(target)) {
          return target;
        }
      }
    }
    return null;
  }

  /** Returns any healthy target, even one on which the request has failed, or null. */
  @Nullable Target any(@Nullable Target excluded) {
    for (int runs = 0; runs < byRuns.size(); runs++) {
      for (Target target : byRuns.get(runs)) {
        if (target != excluded) {
          return target;
        }
      }
    }
    return null;
  }
}
