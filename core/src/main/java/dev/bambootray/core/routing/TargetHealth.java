package dev.bambootray.core.routing;

/**
 * Tracks the health of targets by the outcomes of their runs and probes, and ejects and readmits
 * them.
 */
final class TargetHealth {
  private static final long PROBE_INTERVAL_MS = 500;
  private static final long REFUSAL_PAUSE_MS = 100;

  /** Runs that could not be sent in a row before a target counts as unreachable. */
  private static final int NOT_SENT_LIMIT = 3;

  private static final long FIRST_EJECTION_MS = 2_000;
  private static final int MAX_EJECTION_DOUBLINGS = 4;
  private static final int PROBES_TO_READMIT = 3;

  /** Failure streak of a readmitted target; two more failures eject it again. */
  private static final int READMITTED_STREAK = 3;

  /** Time after a readmission at which earlier ejections no longer count, in milliseconds. */
  private static final long EJECTION_RESET_MS = 60_000;

  private static final double FAILURE_RATE_GAIN = 0.1;

  private final RouterState state;
  private final EjectionPolicy ejection;
  private final ConcurrencyPolicy concurrency;

  TargetHealth(RouterState state, EjectionPolicy ejection, ConcurrencyPolicy concurrency) {
    this.state = state;
    this.ejection = ejection;
    this.concurrency = concurrency;
  }

  /** Records a run that ended with a result. */
  void recordSuccess(Run run, long runMs, long nowMs) {
    Target target = run.target;
    target.setFailureStreak(0);
    target.setPaced(false);
    target.notSentStreak = 0;
    target.failureRate -= target.failureRate * FAILURE_RATE_GAIN;
    if (target.ejections > 0 && nowMs - target.readmittedAtMs > EJECTION_RESET_MS) {
      target.ejections = 0;
    }
    target.observeSlowness(run.request.runTimes.logRatio(runMs));
    run.request.runTimes.record(runMs);
    run.request.pool.recordRun(runMs);
    target.rampLimit = Math.min(target.slots(), target.rampLimit + 1);
    updateLimit(target);
  }

  /** Records a run that is stopped because another run of its request answered first. */
  void recordSuperseded(Run run, long nowMs) {
    run.target.observeSlowness(run.request.runTimes.logRatio(nowMs - run.sentAtMs));
    updateLimit(run.target);
  }

  /**
   * Records a run that failed. If a request fails on a second target, the request itself is likely
   * at fault, so the failure streak of neither target counts it.
   */
  void recordFailure(Run run, long nowMs) {
    Target target = run.target;
    PendingRequest request = run.request;
    if (request.hasFailedOn(target)) {
      return;
    }
    request.addFailedOn(target);
    Target blamed = request.blamedTarget;
    if (blamed != null) {
      blamed.setFailureStreak(Math.max(0, blamed.failureStreak() - 1));
      return;
    }
    request.blamedTarget = target;
    target.setFailureStreak(target.failureStreak() + 1);
    target.failureRate += (1 - target.failureRate) * FAILURE_RATE_GAIN;
    if (!target.isEjected()) {
      EjectionPolicy.Action action = ejection.actionFor(target, state.policy().ejectionMaxShare());
      target.setPaced(action == EjectionPolicy.Action.PACE);
      if (action == EjectionPolicy.Action.EJECT) {
        eject(target, nowMs);
      }
      updateLimit(target);
    }
  }

  private void eject(Target target, long nowMs) {
    target.setEjected(true);
    target.probesAnswered = 0;
    long baseMs = FIRST_EJECTION_MS << Math.min(MAX_EJECTION_DOUBLINGS, target.ejections++);
    target.ejectedUntilMs = nowMs + baseMs + state.random.nextLong(baseMs / 4);
    scheduleTimer(target, target.ejectedUntilMs);
  }

  private void readmit(Target target, long nowMs) {
    target.setEjected(false);
    target.setFailureStreak(READMITTED_STREAK);
    target.rampLimit = 1;
    target.readmittedAtMs = nowMs;
    updateLimit(target);
  }

  private void updateLimit(Target target) {
    target.setLimit(Math.min(target.rampLimit, concurrency.limit(target)));
  }

  /** Records that a target refused a run for lack of capacity. */
  void recordCapacityRefusal(Target target, long nowMs) {
    target.setRefusing(true);
    scheduleTimer(target, nowMs + REFUSAL_PAUSE_MS);
  }

  /** Records a run that could not be sent; only several in a row make the target unreachable. */
  void recordNotSent(Target target, long nowMs) {
    if (++target.notSentStreak >= NOT_SENT_LIMIT) {
      markUnreachable(target, nowMs);
    } else if (!target.isUnreachable()) {
      probe(target, nowMs);
    }
  }

  /**
   * Marks a target that did not answer on a fresh connection as unreachable; it gets no new
   * requests.
   */
  void markUnreachable(Target target, long nowMs) {
    if (!target.isUnreachable()) {
      target.setUnreachable(true);
      probe(target, nowMs);
    }
  }

  /** Marks a target that answered on a fresh connection as reachable. */
  void markReachable(Target target) {
    target.setUnreachable(false);
    target.notSentStreak = 0;
  }

  /** Records an answered probe; several in a row readmit an ejected target. */
  void probeAnswered(Target target, long nowMs) {
    target.probeInFlight = false;
    markReachable(target);
    if (target.isEjected()
        && nowMs >= target.ejectedUntilMs
        && ++target.probesAnswered >= PROBES_TO_READMIT) {
      readmit(target, nowMs);
    }
  }

  /** Records a probe that was not answered. */
  void probeMissed(Target target, long nowMs) {
    target.probeInFlight = false;
    target.probesAnswered = 0;
    markUnreachable(target, nowMs);
  }

  /** Handles the timer of a target. */
  void due(Target target, long nowMs) {
    target.setRefusing(false);
    if (target.isUnreachable() || (target.isEjected() && nowMs >= target.ejectedUntilMs)) {
      probe(target, nowMs);
    } else if (target.isEjected()) {
      scheduleTimer(target, target.ejectedUntilMs);
    }
  }

  private void probe(Target target, long nowMs) {
    target.dropUnansweredQuery(nowMs);
    if (target.statusQueryInFlight == null && !target.probeInFlight) {
      target.probeInFlight = true;
      target.lastQueryAtMs = nowMs;
      state.emit(new RouterEffect.ProbeTarget(target.worker));
    }
    scheduleTimer(target, nowMs + PROBE_INTERVAL_MS);
  }

  private void scheduleTimer(Target target, long atMs) {
    boolean sooner = target.heapIndex < 0 || atMs < target.dueAtMs;
    if (sooner) {
      state.timers.schedule(target, atMs);
    }
  }
}
