package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.core.worker.TaskUsage;
import java.util.List;

/**
 * Throttles, then checkpoints or stops, members that use more than they were granted. Each report
 * acts on the member that exceeds its grant the most.
 *
 * <p>Reports lag, so only grants decide which capacity is free, and a report affects only the tasks
 * that it names.
 */
final class UsageEnforcer {
  /** Ratio of use to grant that is tolerated; readings slightly above the grant are noise. */
  private static final double TOLERANCE = 1.1;

  /** Time for a step to take effect; older readings are ignored. */
  static final long STEP_MS = 5_000;

  private final GangLifecycle lifecycle;
  private final EffectBuffer effects;

  UsageEnforcer(GangLifecycle lifecycle, EffectBuffer effects) {
    this.lifecycle = lifecycle;
    this.effects = effects;
  }

  /** Handles one usage report of a worker. */
  void report(List<TaskUsage> usage, long nowMs) {
    Member worst = null;
    double worstExcess = TOLERANCE;
    for (TaskUsage reading : usage) {
      Member member = lifecycle.find(reading.task());
      if (member == null || member.phase != Member.Phase.RUNNING) {
        continue;
      }
      double excess = excess(reading.used(), member.resources);
      boolean fresh = nowMs - reading.ageMs() >= member.overuseActedAtMs + STEP_MS;
      if (excess > worstExcess && (member.overuseSteps == 0 || fresh)) {
        worst = member;
        worstExcess = excess;
      }
    }
    if (worst != null) {
      act(worst, worstExcess, nowMs);
    }
  }

  private static double excess(Resources used, Resources granted) {
    double millicores = (double) used.millicores() / Math.max(1, granted.millicores());
    double memory = (double) used.memoryMib() / Math.max(1, granted.memoryMib());
    return Math.max(
        granted.millicores() > 0 ? millicores : 0, granted.memoryMib() > 0 ? memory : 0);
  }

  private void act(Member member, double excess, long nowMs) {
    member.overuseActedAtMs = nowMs;
    member.overuseSteps++;
    Gang gang = member.gang;
    if (member.overuseSteps == 1) {
      int percent = (int) Math.max(1, Math.min(100, 100 / excess));
      effects.add(new SchedulerEffect.ThrottleTask(member.task, member.worker.id, percent));
    } else {
      String message = describe(member, excess);
      lifecycle.end(gang, EndCause.OVERUSE, message, nowMs);
    }
  }

  private static String describe(Member member, double excess) {
    return "a member on "
        + member.worker.id
        + " used "
        + Math.round(excess * 100)
        + "% of its grant";
  }
}
