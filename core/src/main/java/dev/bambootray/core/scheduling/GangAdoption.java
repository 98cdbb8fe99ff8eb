package dev.bambootray.core.scheduling;

import dev.bambootray.core.worker.TaskSnapshot;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/** Rebuilds gangs from the tasks that workers report after the region changed its owner. */
final class GangAdoption {
  private final WorkerPool pool;
  private final GangLifecycle lifecycle;
  private final EffectBuffer effects;
  private final GuaranteePlan plan;
  private final FairShare shares;
  private final JobQueue queue;
  private final Set<Gang> adoptedGangs = new LinkedHashSet<>();

  GangAdoption(SchedulerParts parts) {
    this.pool = parts.pool;
    this.lifecycle = parts.lifecycle;
    this.effects = parts.effects;
    this.plan = parts.plan;
    this.shares = parts.shares;
    this.queue = parts.queue;
  }

  /**
   * Adds one reported task to its gang. A task whose worker is unknown, that is already registered,
   * or whose job has another gang is released.
   */
  void adopt(SchedulerEvent.TaskAdopted event, Job job, long nowMs) {
    TaskSnapshot snapshot = event.snapshot();
    PoolWorker worker = pool.find(event.worker());
    Gang gang = lifecycle.find(snapshot.task().attempt());
    boolean superseded = job.gang != null && job.gang != gang;
    if (worker == null || superseded || lifecycle.find(snapshot.task()) != null) {
      effects.add(new SchedulerEffect.ReleaseMember(snapshot.task(), event.worker()));
      return;
    }
    if (gang == null) {
      gang =
          new Gang(
              job,
              snapshot.task().attempt(),
              snapshot.members(),
              PlacementRound.kindBeyondGuarantee(job),
              null);
      gang.stepSinceMs = nowMs;
      queue.remove(job);
      lifecycle.registerAdopted(gang, nowMs);
      shares.add(gang, nowMs);
      adoptedGangs.add(gang);
    }
    add(gang, worker, snapshot, nowMs);
  }

  private void add(Gang gang, PoolWorker worker, TaskSnapshot snapshot, long nowMs) {
    Member member = lifecycle.add(gang, snapshot.task(), worker, snapshot.firstAccelerator());
    switch (snapshot.phase()) {
      case RESERVED -> member.phase = Member.Phase.RESERVED;
      case RUNNING -> {
        member.phase = Member.Phase.RUNNING;
        gang.startSent = true;
        gang.job.ranMs = Math.max(gang.job.ranMs, snapshot.ranForMs());
      }
      case FINISHED -> {
        gang.startSent = true;
        lifecycle.finished(snapshot.task(), text(snapshot, "null"), nowMs);
      }
      case FAILED -> {
        gang.startSent = true;
        lifecycle.failed(snapshot.task(), text(snapshot, "failed"), nowMs);
      }
      case CHECKPOINTED -> {
        gang.startSent = true;
        lifecycle.checkpointed(snapshot.task(), text(snapshot, ""), nowMs);
      }
      case STOPPED -> {
        gang.startSent = true;
        lifecycle.stopped(snapshot.task(), nowMs);
      }
      case UNKNOWN -> lifecycle.dropMember(member);
    }
    if (gang.step == Gang.Step.DRAINING) {
      lifecycle.releaseLate(member, nowMs);
      return;
    }
    lifecycle.enterRunningIfComplete(gang, nowMs);
  }

  private static String text(TaskSnapshot snapshot, String fallback) {
    String detail = snapshot.detail();
    return detail == null ? fallback : detail;
  }

  /**
   * Ends the gangs that are still incomplete and binds guaranteed cells around the running ones.
   */
  void complete(long nowMs) {
    for (Gang gang : new ArrayList<>(adoptedGangs)) {
      if (gang.step == Gang.Step.ADOPTING) {
        lifecycle.end(gang, EndCause.LOST, "the gang was incomplete at the change of owner", nowMs);
      } else if (gang.step == Gang.Step.RUNNING) {
        plan.adopt(gang);
      }
    }
    adoptedGangs.clear();
  }
}
