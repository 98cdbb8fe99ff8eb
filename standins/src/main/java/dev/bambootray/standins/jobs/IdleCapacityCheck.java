package dev.bambootray.standins.jobs;

import dev.bambootray.core.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * Checks that no job stands still beside idle capacity, as the platform's rule LOST demands.
 *
 * <p>A job stands still if it runs nothing, a step's turn has come, the step fits twice on what is
 * idle, and under half of the capacity is in use. The caller leaves out workers that may get no
 * runs, and calls {@link #reset} while the rule does not apply.
 */
public final class IdleCapacityCheck {
  /** Time after the end of the load from which on the rule applies. */
  public static final long AFTER_LOAD_MS = 14_000;

  /** Time for which a job must not stand still. */
  private static final long LIMIT_MS = 3_000;

  private final Map<String, Long> stillSinceMs = new HashMap<>();

  /** Forgets for how long jobs have stood still. */
  public void reset() {
    stillSinceMs.clear();
  }

  /**
   * Checks all jobs and returns a description of each that has stood still for too long.
   *
   * @param nowMs the time
   * @param waiting steps of jobs that run nothing
   * @param workers all workers that may get runs
   */
  public List<String> check(
      long nowMs, List<WaitingStep> waiting, Collection<SimulatedPoolWorker> workers) {
    if (!isUnderHalfInUse(workers)) {
      reset();
      return List.of();
    }
    List<String> found = new ArrayList<>();
    Set<String> still = new HashSet<>();
    for (WaitingStep step : waiting) {
      if (fitsTwice(step, workers)) {
        still.add(step.job());
        long sinceMs = stillSinceMs.computeIfAbsent(step.job(), job -> nowMs);
        if (nowMs - sinceMs > LIMIT_MS) {
          found.add(describe(step, nowMs - sinceMs, workers));
        }
      }
    }
    stillSinceMs.keySet().retainAll(still);
    return found;
  }

  private static String describe(
      WaitingStep step, long stillMs, Collection<SimulatedPoolWorker> workers) {
    return step.job()
        + " has run nothing for "
        + stillMs
        + " ms although "
        + step.tasks()
        + " tasks of step "
        + step.number()
        + " could run on idle workers "
        + workers.stream()
            .filter(worker -> worker.runs().isEmpty())
            .map(worker -> worker.entry().id())
            .toList();
  }

  private static boolean fitsTwice(WaitingStep step, Collection<SimulatedPoolWorker> workers) {
    long places = workers.stream().mapToLong(worker -> countFitting(step, worker)).sum();
    return places >= 2L * step.together();
  }

  private static int countFitting(WaitingStep step, SimulatedPoolWorker worker) {
    String label = step.spec().requiredLabel();
    if (!label.isEmpty() && !worker.entry().labels().contains(label)) {
      return 0;
    }
    Resources free = worker.free();
    Resources each = step.spec().each();
    int limit = step.spec().maxPerWorker();
    int count = limit > 0 ? limit : Integer.MAX_VALUE;
    count = Math.min(count, countFitting(each.accelerators(), free.accelerators()));
    count = Math.min(count, countFitting(each.millicores(), free.millicores()));
    return Math.min(count, countFitting(each.memoryMib(), free.memoryMib()));
  }

  private static int countFitting(int each, int free) {
    return each == 0 ? Integer.MAX_VALUE : free / each;
  }

  private static boolean isUnderHalfInUse(Collection<SimulatedPoolWorker> workers) {
    return isUnderHalfInUse(workers, Resources::accelerators)
        && isUnderHalfInUse(workers, Resources::millicores)
        && isUnderHalfInUse(workers, Resources::memoryMib);
  }

  private static boolean isUnderHalfInUse(
      Collection<SimulatedPoolWorker> workers, ToIntFunction<Resources> amount) {
    long free = 0;
    long all = 0;
    for (SimulatedPoolWorker worker : workers) {
      free += amount.applyAsInt(worker.free());
      all += amount.applyAsInt(worker.entry().capacity());
    }
    return all == 0 || 2 * free > all;
  }
}
