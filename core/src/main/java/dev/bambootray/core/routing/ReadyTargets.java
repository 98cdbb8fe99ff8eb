package dev.bambootray.core.routing;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * The targets with free slots, by their number of runs, so that the least loaded one is found
 * without looking at all. Failing and slow targets are kept apart, since they need a closer look.
 */
final class ReadyTargets {
  private final List<List<Target>> byRuns = new ArrayList<>();
  private final List<Target> suspects = new ArrayList<>();

  /** Moves a target to the list that fits its present state. */
  void update(Target target) {
    List<Target> fitting = listFor(target);
    List<Target> present = target.readyList;
    if (fitting == present) {
      return;
    }
    if (present != null) {
      Target last = present.remove(present.size() - 1);
      if (last != target) {
        present.set(target.readyIndex, last);
        last.readyIndex = target.readyIndex;
      }
    }
    target.readyList = fitting;
    if (fitting != null) {
      target.readyIndex = fitting.size();
      fitting.add(target);
    }
  }

  private @Nullable List<Target> listFor(Target target) {
    if (target.freeSlots() == 0) {
      return null;
    }
    if (target.isDoubtful() || target.failureStreak() > 0) {
      return suspects;
    }
    while (byRuns.size() <= target.used()) {
      byRuns.add(new ArrayList<>());
    }
    return byRuns.get(target.used());
  }

  /** Returns targets that fail or are slow and have a free slot. */
  List<Target> suspects() {
    return suspects;
  }

  /** Returns one of the least loaded sound targets that the request has not failed on, or null. */
  @Nullable Target leastLoaded(
      PendingRequest request, @Nullable Target excluded, UniformRandomProvider random) {
    for (int runs = 0; runs < byRuns.size(); runs++) {
      List<Target> equal = byRuns.get(runs);
      int size = equal.size();
      int offset = size > 1 ? random.nextInt(size) : 0;
      for (int i = 0; i < size; i++) {
        int index = i + offset;
        Target target = equal.get(index < size ? index : index - size);
        if (target != excluded && !request.hasFailedOn(target)) {
          return target;
        }
      }
    }
    return null;
  }

  /** Returns any sound target, one that the request has failed on included, or null. */
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
