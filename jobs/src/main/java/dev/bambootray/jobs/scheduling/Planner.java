package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.scheduling.StepReservations.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Assigns waiting steps to workers in rounds of placement. */
final class Planner {
  /**
   * Time for which a step waits for its preferred rack, as a multiple of its run time. Work on
   * another rack takes three times as long, so two run times break even for the step itself; a
   * longer wait also benefits the load as a whole.
   */
  private static final int PREFERRED_RACK_WAIT_RUNS = 4;

  /** The strictest deployment allows 2.9 s to meet a guarantee, including stops of other runs. */
  private static final long GUARANTEED_RACK_WAIT_MS = 1_500;

  /**
   * Minimum limit of gangs with reserved workers; reservations for more gangs would idle the pool.
   */
  private static final int MIN_GANG_RESERVATIONS = 2;

  /** One gang may have reserved workers for each such number of workers in the pool. */
  private static final int WORKERS_PER_GANG_RESERVATION = 40;

  /**
   * Limit of searches for victims in a round for steps without a guarantee. Each search examines
   * all runs of the pool; without a limit an overloaded owner misses the renewal of its lease.
   */
  private static final int MAX_VICTIM_SEARCHES = 4;

  /** Time after its last reclaim for which a step keeps an incomplete reservation. */
  private static final long PARTIAL_RESERVATION_MS = 3_000;

  /** Exceeds every urgency, which is a value per core-second. */
  private static final double RESERVED_URGENCY_BONUS = 1e9;

  private final SchedulerState state;
  private final RunTracker runs;
  private final SchedulingPolicy policy;
  private final StepOrderPolicy order;
  private final ValueDensityOrder valueOrder;
  private final PackingPolicy packing;
  private final FreeResources freeResources = new FreeResources();
  private final GangReservationPlanner gangPlanner;
  private final ValuePreemption preemption;
  private final StepPlacer placer;
  private final SuspectPlacer suspects;
  private final StandstillPlacer standstills;
  private final GuaranteeMonitor guaranteeMonitor;
  private int victimSearchesLeft;

  Planner(SchedulerState state, RunTracker runs, SchedulingPolicy policy) {
    this.state = state;
    this.runs = runs;
    this.policy = policy;
    packing = new PackingPolicy(!policy.isStrict());
    valueOrder = new ValueDensityOrder(state.statistics);
    order = policy.isStandard() ? valueOrder : StepOrderPolicy.ARRIVAL;
    gangPlanner = new GangReservationPlanner(state.statistics);
    preemption = new ValuePreemption(state.statistics, valueOrder);
    placer = new StepPlacer(state, runs, freeResources, gangPlanner);
    suspects = new SuspectPlacer(state, placer);
    standstills = new StandstillPlacer(state, placer);
    guaranteeMonitor = new GuaranteeMonitor(state);
  }

  /** Returns how many steps have waited for a guarantee for so long that it is nearly broken. */
  long overdueGuarantees() {
    return guaranteeMonitor.overdue();
  }

  /**
   * Places the steps that fit, reclaims resources for guarantees and reserves workers for wide
   * gangs.
   *
   * @return number of steps that were waiting
   */
  int plan(EventTime now) {
    victimSearchesLeft = MAX_VICTIM_SEARCHES;
    preemption.beginRound();
    suspects.beginRound(now);
    freeResources.update(state.workers.values(), now.ms());
    gangPlanner.beginRound();
    state.reservations.prune(freeResources, now.ms());
    state.reservations.allocateReclaimed(freeResources);
    suspects.place(packing, freeResources, now);
    GuaranteeCoverage coverage =
        policy.isStandard() ? GuaranteeCoverage.of(state) : GuaranteeCoverage.none();
    state.coverage = coverage;
    List<StepInstance> waiting = waiting(coverage, now);
    if (policy.isStandard()) {
      standstills.place(waiting, packing, freeResources, now);
    }
    for (StepInstance step : waiting) {
      List<Task> ready = step.readyTasks();
      if (ready.isEmpty()) {
        continue; // Placed because its job stood still.
      }
      if (step.isGang()) {
        placeGang(step, ready, coverage, now);
      } else {
        placeSingles(step, ready, coverage, now);
      }
      if (policy.isStrict() && step.hasReadyTasks()) {
        break;
      }
    }
    guaranteeMonitor.onRound(waiting, coverage, now);
    return waiting.size();
  }

  private List<StepInstance> waiting(GuaranteeCoverage coverage, EventTime now) {
    Map<StepInstance, Double> urgencies = new LinkedHashMap<>();
    for (Job job : state.jobs.values()) {
      if (job.phase.isFinal()) {
        continue;
      }
      job.openDue(now.wallMs());
      for (StepInstance step : job.openSteps()) {
        if (!step.hasReadyTasks() || !job.isDue(step, now.wallMs())) {
          step.readySinceMs = -1;
          continue;
        }
        step.becomeReady(now);
        urgencies.put(step, bonus(step, now) + order.urgency(step, now.ms()));
      }
    }
    List<StepInstance> steps = new ArrayList<>(urgencies.keySet());
    // Steps with a guarantee come first, oldest first: their places become free one by one, and
    // later jobs must not use them.
    steps.sort(
        Comparator.comparing((StepInstance step) -> !coverage.covers(step.job))
            .thenComparingDouble(
                step -> coverage.covers(step.job) ? 0 : -urgencies.getOrDefault(step, 0.0))
            .thenComparingLong(step -> step.job.acceptedMs));
    return steps;
  }

  /** Returns a bonus for steps that come before others without a guarantee. */
  private double bonus(StepInstance step, EventTime now) {
    boolean first = LongRunningSteps.isOverdue(step, now.ms()) || state.reservations.has(step);
    return first ? RESERVED_URGENCY_BONUS : 0;
  }

  private void placeGang(
      StepInstance step, List<Task> ready, GuaranteeCoverage coverage, EventTime now) {
    if (state.reservations.isReclaim(step)) {
      state.reservations.release(freeResources, step);
    }
    if (placeReserved(step, ready, now)) {
      return;
    }
    boolean anywhere = mayTakeAnyRack(step, coverage, now);
    Optional<Map<WorkerState, Integer>> places =
        packing.find(step, ready.size(), freeResources, anywhere);
    if (places.isPresent()) {
      state.reservations.remove(step);
      placer.place(step, ready, places.get(), now);
      return;
    }
    if (coverage.covers(step.job) && state.reservations.isAwaitingEnds(step)) {
      // A guarantee has a time limit, and nobody knows when the awaited runs end.
      reclaim(step, ready.size(), coverage, now);
      if (state.reservations.isReclaim(step)) {
        return;
      }
    }
    // Steps that are less urgent than this one must not use its reserved places.
    state.reservations.allocate(freeResources, step);
    int missing = ready.size() - state.reservations.count(step);
    if (missing <= 0) {
      return;
    }
    if (isUrgent(step, coverage, now)) {
      reclaim(step, missing, coverage, now);
    }
    releaseIfStuck(step, missing, now);
    if (!state.reservations.has(step)
        && state.reservations.countAwaitingEnds() < maxGangReservations()) {
      reserveForGang(step, ready.size(), coverage, now);
    }
  }

  /** Returns whether a step that does not fit may stop runs of other jobs. */
  private boolean isUrgent(StepInstance step, GuaranteeCoverage coverage, EventTime now) {
    return policy.isStandard()
        && (coverage.covers(step.job)
            || LongRunningSteps.isOverdue(step, now.ms())
            || preemption.canSaveValue(step, now.ms()));
  }

  private int maxGangReservations() {
    if (!policy.isStandard()) {
      return 0;
    }
    return Math.max(MIN_GANG_RESERVATIONS, state.workers.size() / WORKERS_PER_GANG_RESERVATION);
  }

  private void placeSingles(
      StepInstance step, List<Task> ready, GuaranteeCoverage coverage, EventTime now) {
    state.reservations.release(freeResources, step);
    List<Task> left = new ArrayList<>(ready);
    boolean overdue = LongRunningSteps.isOverdue(step, now.ms());
    if (overdue) {
      LongRunningSteps.putFirst(left);
    }
    Set<WorkerState> used = placeOnReserved(step, left, now);
    // Reserved places will become free for that many tasks; the remaining tasks are placed now.
    state.reservations.allocate(freeResources, step);
    boolean anywhere = mayTakeAnyRack(step, coverage, now);
    while (left.size() > state.reservations.count(step)) {
      Optional<Map<WorkerState, Integer>> places = packing.find(step, 1, freeResources, anywhere);
      if (places.isEmpty()) {
        break;
      }
      placer.assign(step, List.of(left.remove(0)), places.get(), now);
      used.addAll(places.get().keySet());
    }
    if (left.size() < ready.size()) {
      placer.logPlaced(step, ready.size() - left.size(), used, now);
    }
    int wanted = overdue ? LongRunningSteps.count(left) : left.size();
    int missing = wanted - state.reservations.count(step);
    if (missing > 0) {
      if (isUrgent(step, coverage, now)) {
        reclaim(step, missing, coverage, now);
      }
      releaseIfStuck(step, missing, now);
    }
  }

  /** Releases the places of a step that could not complete its reservation for too long. */
  private void releaseIfStuck(StepInstance step, int missing, EventTime now) {
    if (state.reservations.isReclaim(step)
        && now.ms() - step.lastReclaimMs > PARTIAL_RESERVATION_MS) {
      state.logDecision(
          step.job.spec.id(),
          "release step="
              + step.label()
              + " kept="
              + state.reservations.count(step)
              + " missing="
              + missing);
      state.reservations.release(freeResources, step);
      state.reservations.remove(step);
    }
  }

  /** Places tasks on reserved workers that have become free, and returns these workers. */
  private Set<WorkerState> placeOnReserved(StepInstance step, List<Task> left, EventTime now) {
    Set<WorkerState> used = new LinkedHashSet<>();
    state
        .reservations
        .places(step)
        .forEach(
            (worker, count) -> {
              int fitting =
                  Math.min(Math.min(count, left.size()), freeResources.countFitting(step, worker));
              for (int i = 0; i < fitting; i++) {
                placer.assign(step, List.of(left.remove(0)), Map.of(worker, 1), now);
                state.reservations.consume(step, worker);
                used.add(worker);
              }
            });
    return used;
  }

  private boolean mayTakeAnyRack(StepInstance step, GuaranteeCoverage coverage, EventTime now) {
    if (coverage.covers(step.job)) {
      return now.ms() - step.waitingSinceMs() > GUARANTEED_RACK_WAIT_MS;
    }
    if (LongRunningSteps.isOverdue(step, now.ms())) {
      return true;
    }
    long waitMs = PREFERRED_RACK_WAIT_RUNS * state.statistics.expectedRunMs(step);
    return now.ms() - step.readySinceMs > waitMs;
  }

  private boolean placeReserved(StepInstance step, List<Task> ready, EventTime now) {
    Map<WorkerState, Integer> places = state.reservations.places(step);
    boolean fits =
        state.reservations.count(step) == ready.size()
            && places.entrySet().stream()
                .allMatch(
                    place -> freeResources.countFitting(step, place.getKey()) >= place.getValue());
    if (!fits) {
      return false;
    }
    state.reservations.remove(step);
    placer.place(step, ready, places, now);
    return true;
  }

  private void reclaim(StepInstance step, int count, GuaranteeCoverage coverage, EventTime now) {
    boolean covered = coverage.covers(step.job);
    if (now.ms() < step.nextReclaimMs || (!covered && --victimSearchesLeft < 0)) {
      return;
    }
    boolean isReclaim = state.reservations.isReclaim(step);
    boolean bound = step.isGang() && step.spec.sameRack() && isReclaim;
    ReclaimRequest request =
        new ReclaimRequest(
            step,
            count,
            isReclaim ? state.reservations.places(step) : Map.of(),
            bound,
            mayTakeAnyRack(step, coverage, now),
            placed -> !coverage.covers(placed.task.step.job) && mayStop(step, placed, covered, now),
            now.ms());
    Optional<ReclaimPlan> found = ReclaimPlan.find(request, freeResources);
    if (found.isEmpty() && bound) {
      // The step no longer fits on the rack of its reservation.
      state.reservations.release(freeResources, step);
      state.reservations.remove(step);
      return;
    }
    boolean required = covered || LongRunningSteps.isOverdue(step, now.ms());
    if (found.isEmpty() || (!required && !preemption.outweighsLoss(step, found.get(), now.ms()))) {
      return;
    }
    ReclaimPlan plan = found.get();
    state.logDecision(
        step.job.spec.id(),
        "reclaim step="
            + step.label()
            + " tasks="
            + count
            + " stopped="
            + plan.victims().size()
            + " reclaims="
            + step.reclaims
            + " kept="
            + state.reservations.count(step)
            + " covered="
            + covered
            + " workspace="
            + step.job.spec.workspace());
    addReservation(step, Kind.STOP_RUNS, plan.places(), now);
    step.lastReclaimMs = now.ms();
    if (!plan.victims().isEmpty()) {
      ReclaimPauses.onReclaimed(step, now);
    }
    plan.victims()
        .forEach(victim -> runs.stopWithGang(victim, StopCause.RECLAIMED, "reclaimed", now));
  }

  /** Returns whether a step may stop a run that no guarantee covers. */
  private boolean mayStop(StepInstance step, Placement placed, boolean covered, EventTime now) {
    if (!covered && LongRunningSteps.isOverdue(step, now.ms())) {
      return !placed.task.step.spec.longRunning(); // Another one would have to run again as well.
    }
    return covered || preemption.mayStop(step, placed, now.ms());
  }

  private void reserveForGang(
      StepInstance step, int count, GuaranteeCoverage coverage, EventTime now) {
    Optional<Map<WorkerState, Integer>> places =
        gangPlanner.find(step, count, freeResources, valueOrder, now.ms());
    if (places.isPresent()) {
      state.logDecision(
          step.job.spec.id(),
          "reserve step="
              + step.label()
              + " tasks="
              + count
              + " workers="
              + places.get().size()
              + " covered="
              + coverage.covers(step.job));
      addReservation(step, Kind.AWAIT_ENDS, places.get(), now);
    }
  }

  private void addReservation(
      StepInstance step, Kind kind, Map<WorkerState, Integer> places, EventTime now) {
    state.reservations.add(step, kind, places, now.ms());
    places.forEach((worker, count) -> freeResources.allocate(worker, step.spec.each(), count));
  }
}
