package dev.bambootray.core.scheduling;

/**
 * Requests the release of members from workers, and repeats or escalates requests without an
 * answer.
 */
final class MemberRelease {
  /** Time without an answer after which a release is repeated. */
  private static final long RETRY_MS = 2_000;

  private final EffectBuffer effects;

  MemberRelease(EffectBuffer effects) {
    this.effects = effects;
  }

  /** Requests the release of a member, optionally after it has written a checkpoint. */
  void release(Member member, boolean checkpoint, long nowMs) {
    switch (member.phase) {
      case GONE, RELEASING -> {
        return;
      }
      case FINISHED -> {
        effects.add(new SchedulerEffect.ReleaseMember(member.task, member.worker.id));
        return;
      }
      default -> {
        if (checkpoint) {
          effects.add(new SchedulerEffect.CheckpointTask(member.task, member.worker.id));
        } else if (member.phase == Member.Phase.RUNNING) {
          effects.add(new SchedulerEffect.StopTask(member.task, member.worker.id));
        } else {
          effects.add(new SchedulerEffect.ReleaseMember(member.task, member.worker.id));
        }
      }
    }
    member.checkpointing = checkpoint;
    member.mayHaveStartedBeforeRelease = member.mayHaveStarted();
    member.phase = Member.Phase.RELEASING;
    member.releaseRequestedAtMs = nowMs;
  }

  /**
   * Repeats or escalates a release that has lasted too long.
   *
   * @return whether the member never ran and its worker does not answer, in which case the
   *     reservation lapses on its own
   */
  boolean isLapsed(Member member, long nowMs) {
    if (member.phase != Member.Phase.RELEASING) {
      return false;
    }
    long waitedMs = nowMs - member.releaseRequestedAtMs;
    if (member.checkpointing) {
      escalate(member, waitedMs, nowMs);
    } else if (waitedMs >= RETRY_MS && member.mayHaveStartedBeforeRelease) {
      effects.add(new SchedulerEffect.StopTask(member.task, member.worker.id));
      member.releaseRequestedAtMs = nowMs;
    } else {
      return waitedMs >= RETRY_MS;
    }
    return false;
  }

  /**
   * Throttles a member whose checkpoint is late, which frees processor time, and later stops it.
   */
  private void escalate(Member member, long waitedMs, long nowMs) {
    if (waitedMs >= ReclaimTiming.STOP_AFTER_MS) {
      member.checkpointing = false;
      member.releaseRequestedAtMs = nowMs;
      effects.add(new SchedulerEffect.StopTask(member.task, member.worker.id));
    } else if (waitedMs >= ReclaimTiming.THROTTLE_AFTER_MS && !member.throttled) {
      member.throttled = true;
      effects.add(
          new SchedulerEffect.ThrottleTask(
              member.task, member.worker.id, ReclaimTiming.THROTTLE_PERCENT));
    }
  }
}
