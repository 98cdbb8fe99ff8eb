package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.Shape;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SortedSet;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** One pass over the queue: starts what fits, in the order of the policy. */
final class PlacementRound {
  private final Pool pool;
  private final GangLifecycle lifecycle;
  private final JobQueue queue;
  private final Claims claims;
  private final Reservations reservations;
  private final FairShare shares;
  private final Admission admission;
  private final RunTimeEstimate estimates;
  private final GuaranteedPlacement guaranteed;
  private final PlacementPolicy placement;
  private final SchedulingPolicies policies;
  private final Supplier<AttemptToken> tokens;

  /** Shapes that did not fit in this round, with the shortest run time that was tried. */
  private final Object2LongMap<Shape> failedFree = new Object2LongOpenHashMap<>();

  private final Object2LongMap<Shape> failedSpare = new Object2LongOpenHashMap<>();

  PlacementRound(SchedulerParts parts, SchedulingPolicies policies, Supplier<AttemptToken> tokens) {
    this.pool = parts.pool;
    this.lifecycle = parts.lifecycle;
    this.queue = parts.queue;
    this.claims = parts.claims;
    this.reservations = parts.reservations;
    this.shares = parts.shares;
    this.admission = parts.admission;
    this.estimates = parts.estimates;
    this.guaranteed = parts.guaranteed;
    this.placement = policies.placement();
    this.policies = policies;
    this.tokens = tokens;
    failedFree.defaultReturnValue(Long.MAX_VALUE);
    failedSpare.defaultReturnValue(Long.MAX_VALUE);
  }

  /**
   * Ends the claims whose place is lost; their jobs wait again.
   *
   * @return whether there were any, so that cells may have to move
   */
  boolean dropLostClaims(long nowMs) {
    List<Job> lost = claims.takeLost(nowMs);
    lost.forEach(job -> queue.add(job, nowMs));
    return !lost.isEmpty();
  }

  /** Places what fits. */
  void run(OrderPolicy order, long ageingMs, long nowMs) {
    claims.takeReady().forEach(claim -> start(claim, nowMs));
    queue.releaseDue(nowMs);
    reservations.dropLost();
    failedFree.clear();
    failedSpare.clear();
    for (Reservation reservation : reservations.all()) {
      if (!tryPlace(reservation.job(), nowMs)) {
        reclaimOverdue(reservation, nowMs);
      }
    }
    placeInOrder(order, ageingMs, nowMs);
  }

  private void placeInOrder(OrderPolicy order, long ageingMs, long nowMs) {
    PriorityQueue<Entry> entries = new PriorityQueue<>(Comparator.comparingDouble(Entry::score));
    for (SortedSet<Job> lane : queue.lanes()) {
      entries.add(new Entry(lane, lane.first(), order.score(lane.first(), nowMs)));
    }
    Job largest = null;
    Job oldest = null;
    while (!entries.isEmpty()) {
      Entry entry = entries.poll();
      Job job = entry.job();
      if (tryPlace(job, nowMs)) {
        if (!entry.lane().isEmpty()) {
          Job next = entry.lane().first();
          entries.add(new Entry(entry.lane(), next, order.score(next, nowMs)));
        }
        continue;
      }
      if (order.blocksBehindHead()) {
        return;
      }
      if (policies.reserve() == SchedulingPolicies.Reserve.FIRST_BLOCKED
          && reservations.all().isEmpty()) {
        reservations.reserve(job, nowMs);
      }
      if (mayReserve(job)) {
        largest = larger(largest, job);
        boolean aged = nowMs - job.request.spec().submittedAtMs() > ageingMs;
        oldest = aged ? older(oldest, job) : oldest;
      }
    }
    if (policies.reserve() == SchedulingPolicies.Reserve.LARGEST_AND_AGED) {
      reserve(largest, nowMs);
      reserve(oldest, nowMs);
    }
  }

  private boolean mayReserve(Job job) {
    return job.gang == null && job.claim == null && withinLimit(job);
  }

  private static Job larger(@Nullable Job a, Job b) {
    return a == null || b.shape.totalAccelerators() > a.shape.totalAccelerators() ? b : a;
  }

  private static Job older(@Nullable Job a, Job b) {
    return a == null || b.sequence < a.sequence ? b : a;
  }

  private void reserve(@Nullable Job job, long nowMs) {
    if (job != null) {
      reservations.reserve(job, nowMs);
    }
  }

  private boolean tryPlace(Job job, long nowMs) {
    if (!job.waiting || job.notBeforeMs > nowMs || !withinLimit(job)) {
      return false;
    }
    if (policies.guarantees()) {
      GuaranteedPlacement.Place place = guaranteed.findFree(job, nowMs);
      if (place != null) {
        start(job, place.spots(), GrantKind.GUARANTEED, place.cell(), nowMs);
        return true;
      }
    }
    if (tryBeyond(job, View.SPARE, failedSpare, nowMs)) {
      return true;
    }
    if (policies.guarantees() && job.request.spec().urgent() && tryClaim(job, nowMs)) {
      return true;
    }
    if (job.repeatable() && tryBeyond(job, View.FREE, failedFree, nowMs)) {
      return true;
    }
    return policies.guarantees() && tryClaim(job, nowMs);
  }

  private boolean withinLimit(Job job) {
    int held = shares.acceleratorsInUse(job.workspace());
    for (Claim claim : claims.all()) {
      if (claim.job().workspace().equals(job.workspace())) {
        held += claim.job().shape.totalAccelerators();
      }
    }
    return held + job.shape.totalAccelerators() <= admission.limit(job.workspace());
  }

  private boolean tryBeyond(Job job, View view, Object2LongMap<Shape> failed, long nowMs) {
    long runMs = Math.max(1, estimates.cautiousMs(job) - job.ranMs);
    boolean particular = !job.failedOn.isEmpty() || reservations.of(job) != null;
    if (!particular && runMs >= failed.getLong(job.shape)) {
      return false;
    }
    Predicate<WorkerSlot> allowed = allowed(job, runMs, nowMs);
    List<Spot> spots =
        placement.place(
            pool, job.shape, view, allowed.and(worker -> !job.failedOn.contains(worker.id)));
    if (spots.isEmpty() && !job.failedOn.isEmpty()) {
      spots = placement.place(pool, job.shape, view, allowed);
    }
    if (spots.isEmpty()) {
      if (!particular) {
        failed.put(job.shape, runMs);
      }
      return false;
    }
    start(job, spots, kindBeyond(job), null, nowMs);
    return true;
  }

  /** Keeps jobs off workers that are backing off, in probation or reserved for another job. */
  private static Predicate<WorkerSlot> allowed(Job job, long runMs, long nowMs) {
    return worker -> {
      Reservation reservation = worker.reservation;
      return worker.notBeforeMs <= nowMs
          && (!worker.probation || WorkerHealth.mayProbe(worker, job))
          && (reservation == null
              || reservation.job() == job
              || nowMs + runMs <= reservation.startMs());
    };
  }

  static GrantKind kindBeyond(Job job) {
    return job.repeatable() ? GrantKind.BORROWED : GrantKind.PINNED;
  }

  private boolean tryClaim(Job job, long nowMs) {
    GuaranteedPlacement.Place place = guaranteed.findReclaimable(job, nowMs);
    if (place == null) {
      return false;
    }
    begin(
        new Claim(job, place.cell(), place.spots(), GrantKind.GUARANTEED, nowMs),
        place.victims(),
        nowMs);
    return true;
  }

  private void begin(Claim claim, Set<Gang> victims, long nowMs) {
    queue.remove(claim.job());
    reservations.drop(claim.job());
    claims.begin(claim, victims, nowMs);
  }

  /** Stops smaller borrowed work that overran the start that was promised to a large job. */
  private void reclaimOverdue(Reservation reservation, long nowMs) {
    Job job = reservation.job();
    if (policies.reserve() != SchedulingPolicies.Reserve.LARGEST_AND_AGED
        || !job.waiting
        || !withinLimit(job)) {
      return;
    }
    long submittedMs = job.request.spec().submittedAtMs();
    double waitRatio =
        (double) (nowMs - submittedMs) / Math.max(1, job.promisedStartMs - submittedMs);
    if (nowMs < reservation.startMs() || waitRatio < Reclaim.OVERDUE_RATIO) {
      return;
    }
    View view = job.repeatable() ? View.STOPPABLE : View.BINDABLE;
    List<Spot> spots = placement.place(pool, job.shape, view, reservation.workers()::contains);
    Set<Gang> victims = spots.isEmpty() ? null : Claims.victims(spots, job);
    if (victims == null) {
      return;
    }
    for (Gang victim : victims) {
      boolean smaller = victim.job.shape.totalAccelerators() < job.shape.totalAccelerators();
      boolean harmless = victim.job.request.template().checkpointable();
      if (!smaller || (!harmless && waitRatio < Reclaim.LATE_RATIO)) {
        return;
      }
    }
    begin(new Claim(job, null, spots, kindBeyond(job), nowMs), victims, nowMs);
  }

  private void start(Claim claim, long nowMs) {
    start(claim.job(), claim.spots(), claim.kind(), claim.cell(), nowMs);
  }

  private void start(Job job, List<Spot> spots, GrantKind kind, @Nullable Cell cell, long nowMs) {
    queue.remove(job);
    reservations.drop(job);
    job.attempts++;
    shares.add(lifecycle.begin(job, tokens.get(), spots, kind, cell, nowMs), nowMs);
  }

  private record Entry(SortedSet<Job> lane, Job job, double score) {}
}
