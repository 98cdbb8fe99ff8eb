package dev.bambootray.core.scheduling;

/** Asks workers to let members go, and asks again or harder if they do not answer. */
final class MemberRelease {
  /** A release that is not answered by then is asked for again. */
  private static final long RETRY_MS = 2_000;

  private final Effects effects;

  MemberRelease(Effects effects) {
    this.effects = effects;
  }

  /** Asks the worker to let go of a member, by a checkpoint if one is wanted. */
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
    member.ranBeforeRelease = member.mayRun();
    member.phase = Member.Phase.RELEASING;
    member.releaseAskedAtMs = nowMs;
  }

  /**
   * Acts on a release that has lasted too long.
   *
   * @return whether the member never ran and its worker is silent, so that its reservation lapses
   */
  boolean isForgotten(Member member, long nowMs) {
    if (member.phase != Member.Phase.RELEASING) {
      return false;
    }
    long askedMs = nowMs - member.releaseAskedAtMs;
    if (member.checkpointing) {
      escalate(member, askedMs, nowMs);
    } else if (askedMs >= RETRY_MS && member.ranBeforeRelease) {
      effects.add(new SchedulerEffect.StopTask(member.task, member.worker.id));
      member.releaseAskedAtMs = nowMs;
    } else {
      return askedMs >= RETRY_MS;
    }
    return false;
  }

  /** A late checkpoint is hastened by a throttle, which frees processors, and then given up. */
  private void escalate(Member member, long askedMs, long nowMs) {
    if (askedMs >= Reclaim.STOP_AFTER_MS) {
      member.checkpointing = false;
      member.releaseAskedAtMs = nowMs;
      effects.add(new SchedulerEffect.StopTask(member.task, member.worker.id));
    } else if (askedMs >= Reclaim.THROTTLE_AFTER_MS && !member.throttled) {
      member.throttled = true;
      effects.add(
          new SchedulerEffect.ThrottleTask(
              member.task, member.worker.id, Reclaim.THROTTLE_PERCENT));
    }
  }
}
