package dev.bambootray.core.routing;

/** Judges targets by the outcomes of their runs. */
final class TargetHealth {
  private static final long PROBE_INTERVAL_MS = 500;
  private static final long REFUSAL_PAUSE_MS = 100;

  /** Runs that could not be sent in a row before a target counts as unreachable. */
  private static final int NOT_SENT_LIMIT = 3;

  private final RouterState state;

  TargetHealth(RouterState state) {
    this.state = state;
  }

  /** Notes a run that answered. */
  void succeeded(Run run, long runMs, long nowMs) {
    Target target = run.target;
    target.failureStreak = 0;
    target.notSentStreak = 0;
    run.request.runTimes.record(runMs);
    run.request.pool.recordRun(runMs);
  }

  /** Notes a run that failed. */
  void failed(Run run, long nowMs) {
    run.target.failureStreak++;
    run.request.addFailedOn(run.target);
  }

  /** Notes a target that refused for lack of capacity. */
  void refusedForCapacity(Target target, long nowMs) {
    target.refusing = true;
    state.timers.schedule(target, nowMs + REFUSAL_PAUSE_MS);
  }

  /** Notes a run that could not be sent; one broken connection does not condemn the target. */
  void notSent(Target target, long nowMs) {
    if (++target.notSentStreak >= NOT_SENT_LIMIT) {
      unreachable(target, nowMs);
    } else if (!target.unreachable) {
      probe(target, nowMs);
    }
  }

  /** Notes a target that did not answer on a fresh connection; it gets nothing new. */
  void unreachable(Target target, long nowMs) {
    if (!target.unreachable) {
      target.unreachable = true;
      probe(target, nowMs);
    }
  }

  /** Asks a target for a sign of life on a fresh connection. */
  void probe(Target target, long nowMs) {
    state.emit(new RouterEffect.ProbeTarget(target.worker));
    state.timers.schedule(target, nowMs + PROBE_INTERVAL_MS);
  }

  /** Notes that a target answered on a fresh connection. */
  void reachable(Target target) {
    target.unreachable = false;
    target.notSentStreak = 0;
  }

  /** Notes an answered probe. */
  void probeAnswered(Target target, long nowMs) {
    reachable(target);
  }

  /** Notes a missed probe. */
  void probeMissed(Target target, long nowMs) {
    unreachable(target, nowMs);
  }

  /** Acts on the timer of a target. */
  void due(Target target, long nowMs) {
    target.refusing = false;
    if (target.unreachable) {
      probe(target, nowMs);
    }
  }
}
