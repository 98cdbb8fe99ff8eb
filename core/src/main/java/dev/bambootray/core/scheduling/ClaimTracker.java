package dev.bambootray.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Reclaims borrowed capacity. Victims are checkpointed; one that is late is throttled and then
 * stopped. Their accelerators are held until the claiming job can be reserved on them.
 *
 * <p>Two jobs cannot preempt each other in turn: work within a guarantee is never a victim, and a
 * job without a guarantee stops only smaller jobs.
 */
final class ClaimTracker {
  /**
   * Time after which a claim is dropped. Victims stop within seconds unless their worker is
   * unresponsive.
   */
  private static final long TIMEOUT_MS = 30_000;

  private final WorkerPool pool;
  private final GangLifecycle lifecycle;
  private final VictimPolicy victimPolicy;
  private final LossBudget losses;
  private final Map<Job, Claim> claims = new LinkedHashMap<>();

  ClaimTracker(
      WorkerPool pool, GangLifecycle lifecycle, VictimPolicy victimPolicy, LossBudget losses) {
    this.victimPolicy = victimPolicy;
    this.losses = losses;
    this.pool = pool;
    this.lifecycle = lifecycle;
  }

  /**
   * Returns the gangs that must stop before the ranges are free, or null if one of them must not be
   * stopped.
   */
  static @Nullable Set<Gang> victims(List<AcceleratorRange> ranges, Job job) {
    Set<Gang> victims = new LinkedHashSet<>();
    Map<PoolWorker, Integer> members = new LinkedHashMap<>();
    for (AcceleratorRange range : ranges) {
      PoolWorker worker = range.worker();
      long mask = AcceleratorMasks.mask(range.first(), job.shape.acceleratorsPerMember());
      if ((worker.nonPreemptibleMask & mask) != 0) {
        return null;
      }
      for (Member member : worker.members) {
        if ((member.mask() & mask) != 0) {
          victims.add(member.gang);
        }
      }
      members.merge(worker, 1, Integer::sum);
    }
    members.forEach((worker, count) -> addForProcessorsAndMemory(worker, count, job, victims));
    return victims;
  }

  /** Adds borrowed gangs until the worker has enough processor time and memory as well. */
  private static void addForProcessorsAndMemory(
      PoolWorker worker, int count, Job job, Set<Gang> victims) {
    long millicores = worker.freeMillicores() - (long) count * job.shape.millicoresPerMember();
    long memoryMib = worker.freeMemoryMib() - (long) count * job.shape.memoryMibPerMember();
    for (Member member : worker.members) {
      if (victims.contains(member.gang)) {
        millicores += member.resources.millicores();
        memoryMib += member.resources.memoryMib();
      }
    }
    for (Member member : worker.members) {
      if (millicores >= 0 && memoryMib >= 0) {
        return;
      }
      if (member.gang.kind == GrantKind.BORROWED && victims.add(member.gang)) {
        for (Member other : member.gang.members) {
          if (other.worker == worker) {
            millicores += other.resources.millicores();
            memoryMib += other.resources.memoryMib();
          }
        }
      }
    }
  }

  /** Stops the victims and holds the ranges for the job. */
  void begin(Claim claim, Set<Gang> victims, long nowMs) {
    claims.put(claim.job(), claim);
    claim.job().claim = claim;
    GuaranteedCell cell = claim.cell();
    if (cell != null) {
      cell.claims++;
    }
    pool.hold(claim.ranges(), claim.job().resourcesPerMember(), true);
    for (Gang victim : victims) {
      if (victim.step != Gang.Step.DRAINING) {
        losses.lost(victimPolicy.lostWork(victim, nowMs));
        victim.job.preemptions++;
        victim.job.notBeforeMs = nowMs + backoffMs(victim.job.preemptions);
        lifecycle.end(victim, EndCause.PREEMPTED, "reclaimed for " + claim.job().key(), nowMs);
      }
    }
  }

  private static long backoffMs(int preemptions) {
    return Math.min(60_000, 1_000L << Math.min(preemptions, 6));
  }

  /** Ends the claim of a job, if it has one, and releases the held ranges. */
  void abort(Job job) {
    Claim claim = claims.remove(job);
    if (claim == null) {
      return;
    }
    job.claim = null;
    GuaranteedCell cell = claim.cell();
    if (cell != null) {
      cell.claims--;
    }
    pool.hold(claim.ranges(), job.resourcesPerMember(), false);
  }

  /** Removes and returns the claims whose ranges are free. */
  List<Claim> takeReady() {
    List<Claim> ready = new ArrayList<>();
    for (Claim claim : claims.values()) {
      if (isFree(claim.ranges(), claim.job())) {
        ready.add(claim);
      }
    }
    ready.forEach(claim -> abort(claim.job()));
    return ready;
  }

  /**
   * Ends the claims that include a worker that no longer takes work, and those whose ranges did not
   * become free in time, and returns their jobs.
   */
  List<Job> takeLost(long nowMs) {
    List<Job> lost = new ArrayList<>();
    for (Claim claim : claims.values()) {
      boolean late = nowMs - claim.sinceMs() > TIMEOUT_MS;
      if (late || claim.ranges().stream().anyMatch(range -> !range.worker().takesWork())) {
        lost.add(claim.job());
      }
    }
    lost.forEach(this::abort);
    return lost;
  }

  Collection<Claim> all() {
    return claims.values();
  }

  /**
   * Returns whether a job could be reserved on the ranges now; resources held for claims count as
   * free.
   */
  static boolean isFree(List<AcceleratorRange> ranges, Job job) {
    Map<PoolWorker, Integer> members = new LinkedHashMap<>();
    for (AcceleratorRange range : ranges) {
      long mask = AcceleratorMasks.mask(range.first(), job.shape.acceleratorsPerMember());
      if ((range.worker().usedMask & mask) != 0) {
        return false;
      }
      members.merge(range.worker(), 1, Integer::sum);
    }
    for (Map.Entry<PoolWorker, Integer> entry : members.entrySet()) {
      PoolWorker worker = entry.getKey();
      int count = entry.getValue();
      if (worker.millicores - worker.usedMillicores < count * job.shape.millicoresPerMember()
          || worker.memoryMib - worker.usedMemoryMib < count * job.shape.memoryMibPerMember()) {
        return false;
      }
    }
    return true;
  }
}
