package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestKey;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Updates queue, shares, estimates, worker health and guarantee plan when gangs change state. */
final class GangBookkeeping implements GangListener {
  /** Delay before a job runs again after a failure; doubles with each further failure. */
  private static final long RETRY_MS = 1_000;

  private static final int MAX_DOUBLINGS = 6;

  private final Map<RequestKey, Job> jobs;
  private @Nullable SchedulerParts parts;
  private @Nullable GuaranteeMonitor guaranteeMonitor;

  GangBookkeeping(Map<RequestKey, Job> jobs) {
    this.jobs = jobs;
  }

  void connect(SchedulerParts newParts, GuaranteeMonitor newWatch) {
    parts = newParts;
    guaranteeMonitor = newWatch;
  }

  private SchedulerParts parts() {
    if (parts == null) {
      throw new IllegalStateException("connect must be called first");
    }
    return parts;
  }

  private void poolChanged() {
    if (guaranteeMonitor != null) {
      guaranteeMonitor.poolChanged();
    }
  }

  @Override
  public void started(Gang gang, long nowMs) {}

  @Override
  public void stoppedRunning(Gang gang, long nowMs) {}

  @Override
  public void memberSucceeded(Member member, long nowMs) {
    parts().failureTracker.onSucceeded(member);
  }

  @Override
  public void memberFailed(Member member, long nowMs) {
    if (member.worker.joined && parts().failureTracker.onFailed(member, nowMs)) {
      poolChanged();
    }
  }

  @Override
  public void memberRefused(Member member, long nowMs) {}

  @Override
  public void completed(Gang gang, long nowMs) {
    Job job = gang.job;
    long ranMs = job.ranMs + nowMs - gang.runningSinceMs;
    parts().estimates.observe(job, ranMs);
    parts().losses.completed((double) ranMs * job.shape.totalAccelerators());
  }

  @Override
  public void answered(Job job, long nowMs) {
    job.answered = true;
    jobs.remove(job.key());
    parts().queue.remove(job);
    parts().claims.abort(job);
    parts().reservations.drop(job);
  }

  @Override
  public void drained(Gang gang, long nowMs) {
    Job job = gang.job;
    parts().shares.remove(gang, nowMs);
    if (gang.includesUnavailableWorker()) {
      poolChanged();
    }
    if (gang.checkpointed() && gang.runningSinceMs > 0) {
      job.ranMs += gang.stepSinceMs - gang.runningSinceMs;
    }
    if (job.answered || gang.afterDrain == Gang.AfterDrain.DROP) {
      return;
    }
    if (job.failures > 0) {
      long backoffMs = RETRY_MS << Math.min(job.failures - 1, MAX_DOUBLINGS);
      job.notBeforeMs = Math.max(job.notBeforeMs, nowMs + backoffMs);
    }
    parts().queue.add(job, nowMs);
  }
}
