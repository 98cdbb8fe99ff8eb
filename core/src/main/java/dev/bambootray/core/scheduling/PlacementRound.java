package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.PolicyDeclaration;
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

/** Runs passes over the queue that start the jobs that fit, in the order of the policy. */
final class PlacementRound {
  /** Delay of a promised start after which the reservation is planned again. */
  private static final long REPLAN_MS = 300_000;

  private final WorkerPool pool;
  private final GangLifecycle lifecycle;
  private final JobQueue queue;
  private final ClaimTracker claims;
  private final ReservationTable reservations;
  private final FairShare shares;
  private final AdmissionControl admission;
  private final RunTimeEstimator estimates;
  private final GuaranteedPlacementFinder guaranteed;
  private final PlacementPolicy placement;
  private final SchedulingPolicies policies;
  private final Supplier<AttemptToken> tokens;
  private final OverduePlacementFinder overdue;
  private BorrowingPolicy borrowing = new BorrowingPolicy(0);

  /** Searches that failed in this round, each with the shortest run time that failed. */
  private final Object2LongMap<Search> failed = new Object2LongOpenHashMap<>();

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
    this.overdue = new OverduePlacementFinder(pool, placement, policies.victims(), parts.losses);
    failed.defaultReturnValue(Long.MAX_VALUE);
  }

  /**
   * Ends the claims whose ranges are lost or did not become free in time; their jobs are queued
   * again.
   *
   * @return whether there were any, in which case cells may have to move
   */
  boolean dropLostClaims(long nowMs) {
    List<Job> lost = claims.takeLost(nowMs);
    lost.forEach(job -> queue.add(job, nowMs));
    return !lost.isEmpty();
  }

  /** Applies the declared weight of fragmentation to borrowing. */
  void declare(PolicyDeclaration policy) {
    borrowing = BorrowingPolicy.scopeOf(policy);
  }

  /** Starts ready claims, then jobs with a reservation, then all other jobs in order. */
  void run(JobOrderPolicy order, long ageingMs, long nowMs) {
    claims.takeReady().forEach(claim -> start(claim, nowMs));
    queue.releaseDue(nowMs);
    reservations.dropLost();
    failed.clear();
    for (Reservation reservation : reservations.all()) {
      if (!tryPlace(reservation.job(), nowMs)) {
        reclaimOverdue(reservation, nowMs);
      }
    }
    placeInOrder(order, ageingMs, nowMs);
  }

  private void placeInOrder(JobOrderPolicy order, long ageingMs, long nowMs) {
    PriorityQueue<LaneHead> entries =
        new PriorityQueue<>(Comparator.comparingDouble(LaneHead::score));
    for (SortedSet<Job> lane : queue.lanes()) {
      entries.add(new LaneHead(lane, lane.first(), order.score(lane.first(), nowMs)));
    }
    Job largest = null;
    Job oldest = null;
    while (!entries.isEmpty()) {
      LaneHead entry = entries.poll();
      Job job = entry.job();
      if (tryPlace(job, nowMs)) {
        if (!entry.lane().isEmpty()) {
          Job next = entry.lane().first();
          entries.add(new LaneHead(entry.lane(), next, order.score(next, nowMs)));
        }
        continue;
      }
      if (order.hasHeadOfLineBlocking()) {
        return;
      }
      if (policies.reserve() == SchedulingPolicies.ReservationPolicy.FIRST_BLOCKED
          && reservations.all().isEmpty()) {
        reservations.reserve(job, nowMs);
      }
      if (mayReserve(job)) {
        largest = larger(largest, job);
        boolean aged = nowMs - job.request.spec().submittedAtMs() > ageingMs;
        oldest = aged ? older(oldest, job) : oldest;
      }
    }
    if (policies.reserve() == SchedulingPolicies.ReservationPolicy.LARGEST_AND_AGED) {
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
    if (tryWithinGuarantee(job, true, nowMs)
        || tryBeyondGuarantee(job, CapacityView.SPARE, nowMs)) {
      return true;
    }
    if (job.request.spec().urgent()) {
      return tryWithinGuarantee(job, false, nowMs)
          || tryClaim(job, nowMs)
          || (job.repeatable() && tryBeyondGuarantee(job, CapacityView.FREE, nowMs));
    }
    if (job.repeatable() && tryBeyondGuarantee(job, CapacityView.FREE, nowMs)) {
      return true;
    }
    boolean waitsToBorrow =
        job.repeatable()
            && borrowing.scopeOf(job, estimates.typicalMs(job), nowMs)
                == BorrowingPolicy.BorrowScope.NONE;
    return (!waitsToBorrow && tryWithinGuarantee(job, false, nowMs)) || tryClaim(job, nowMs);
  }

  private boolean tryWithinGuarantee(Job job, boolean tight, long nowMs) {
    GuaranteedPlacementFinder.Place place =
        policies.guarantees() ? guaranteed.findFree(job, tight, nowMs) : null;
    if (place == null) {
      return false;
    }
    start(job, place.ranges(), place.kind(), place.cell(), nowMs);
    return true;
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

  private boolean tryBeyondGuarantee(Job job, CapacityView view, long nowMs) {
    long runMs = Math.max(1, estimates.cautiousMs(job) - job.ranMs);
    boolean jobSpecific = !job.failedOn.isEmpty() || reservations.of(job) != null;
    BorrowingPolicy.BorrowScope scope =
        view == CapacityView.FREE
            ? borrowing.scopeOf(job, runMs, nowMs)
            : BorrowingPolicy.BorrowScope.ANY;
    Search search = new Search(job.shape, view, scope);
    if (!jobSpecific && runMs >= failed.getLong(search)) {
      return false;
    }
    Predicate<PoolWorker> allowed = allowed(job, runMs, nowMs);
    if (view == CapacityView.FREE) {
      allowed = allowed.and(worker -> scope.allows(job, worker));
    }
    Predicate<PoolWorker> untried = allowed.and(worker -> !job.failedOn.contains(worker.id));
    List<AcceleratorRange> ranges = placement.place(pool, job.shape, view, untried);
    if (ranges.isEmpty() && !job.failedOn.isEmpty()) {
      ranges = placement.place(pool, job.shape, view, allowed);
    }
    if (ranges.isEmpty()) {
      if (!jobSpecific) {
        failed.put(search, runMs);
      }
      return false;
    }
    start(job, ranges, kindBeyondGuarantee(job), null, nowMs);
    return true;
  }

  /** Excludes workers that are backing off, in probation or reserved for another job. */
  private static Predicate<PoolWorker> allowed(Job job, long runMs, long nowMs) {
    return worker -> {
      Reservation reservation = worker.reservation;
      return worker.notBeforeMs <= nowMs
          && (!worker.probation || WorkerFailureTracker.mayProbe(worker, job))
          && (reservation == null
              || reservation.job() == job
              || nowMs + runMs <= reservation.startMs());
    };
  }

  static GrantKind kindBeyondGuarantee(Job job) {
    return job.repeatable() ? GrantKind.BORROWED : GrantKind.PINNED;
  }

  private boolean tryClaim(Job job, long nowMs) {
    GuaranteedPlacementFinder.Place place =
        policies.guarantees() ? guaranteed.findReclaimable(job, nowMs) : null;
    if (place == null) {
      return false;
    }
    begin(
        new Claim(job, place.cell(), place.ranges(), place.kind(), nowMs), place.victims(), nowMs);
    return true;
  }

  private void begin(Claim claim, Set<Gang> victims, long nowMs) {
    queue.remove(claim.job());
    reservations.drop(claim.job());
    claims.begin(claim, victims, nowMs);
  }

  /** Preempts smaller borrowed work that delays the start that was promised to a large job. */
  private void reclaimOverdue(Reservation reservation, long nowMs) {
    Job job = reservation.job();
    if (policies.reserve() != SchedulingPolicies.ReservationPolicy.LARGEST_AND_AGED
        || !job.waiting
        || !withinLimit(job)) {
      return;
    }
    long submittedMs = job.request.spec().submittedAtMs();
    double waitRatio =
        (double) (nowMs - submittedMs) / Math.max(1, job.promisedStartMs - submittedMs);
    if (nowMs < reservation.startMs() || waitRatio < ReclaimTiming.OVERDUE_RATIO) {
      return;
    }
    GuaranteedPlacementFinder.Place place = overdue.find(job, waitRatio, nowMs);
    if (place != null) {
      begin(
          new Claim(job, null, place.ranges(), kindBeyondGuarantee(job), nowMs),
          place.victims(),
          nowMs);
    } else if (nowMs - reservation.startMs() > REPLAN_MS) {
      reservations.drop(job);
      reservations.reserve(job, nowMs);
    }
  }

  private void start(Claim claim, long nowMs) {
    start(claim.job(), claim.ranges(), claim.kind(), claim.cell(), nowMs);
  }

  private void start(
      Job job,
      List<AcceleratorRange> ranges,
      GrantKind kind,
      @Nullable GuaranteedCell cell,
      long nowMs) {
    queue.remove(job);
    reservations.drop(job);
    job.attempts++;
    shares.add(lifecycle.begin(job, tokens.get(), ranges, kind, cell, nowMs), nowMs);
  }

  private record Search(Shape shape, CapacityView view, BorrowingPolicy.BorrowScope scope) {}

  private record LaneHead(SortedSet<Job> lane, Job job, double score) {}
}
