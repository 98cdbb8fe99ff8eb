package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestKey;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;

/** Builds explanations of the state of a job and of what it waits for. */
final class JobExplainer {
  private final SchedulerParts parts;

  JobExplainer(SchedulerParts parts) {
    this.parts = parts;
  }

  Explanation explain(Job job, JobOrderPolicy order, boolean adopting, long nowMs) {
    Gang gang = job.gang;
    if (gang != null) {
      return explainGang(job, gang);
    }
    if (job.claim != null) {
      return explainClaim(job, job.claim);
    }
    return explainQueued(job, order, adopting, nowMs);
  }

  private static Explanation explainGang(Job job, Gang gang) {
    String kind =
        switch (gang.kind) {
          case GUARANTEED -> "within the guarantee of its workspace";
          case PINNED -> "beyond the guarantee; it is never stopped because it must not run twice";
          case BORROWED -> "beyond the guarantee; it may be preempted and queued again";
        };
    List<String> workers = workers(gang);
    return switch (gang.step) {
      case RUNNING, ADOPTING -> state(job, "running", "runs " + kind, workers);
      case DRAINING ->
          state(job, "reclaimed", "is being stopped to free its accelerators", workers);
      default -> state(job, "reserving", "is being reserved " + kind, workers);
    };
  }

  private static Explanation explainClaim(Job job, Claim claim) {
    Set<String> victims = new LinkedHashSet<>();
    for (AcceleratorRange range : claim.ranges()) {
      long mask = AcceleratorMasks.mask(range.first(), job.shape.acceleratorsPerMember());
      for (Member member : range.worker().members) {
        if ((member.mask() & mask) != 0) {
          victims.add("job " + member.gang.job.key());
        }
      }
    }
    return new Explanation(
        job.key(),
        "reserving",
        0,
        "waits until borrowed work on its accelerators has stopped",
        List.copyOf(victims),
        List.of("these jobs are checkpointed or stopped"),
        ReclaimTiming.STOP_AFTER_MS);
  }

  private static Explanation state(Job job, String state, String reason, List<String> workers) {
    return new Explanation(job.key(), state, 0, reason, workers, List.of(), 0);
  }

  private static List<String> workers(Gang gang) {
    Set<String> workers = new LinkedHashSet<>();
    gang.members.forEach(m -> workers.add("worker " + m.worker.id));
    return List.copyOf(workers);
  }

  private Explanation explainQueued(Job job, JobOrderPolicy order, boolean adopting, long nowMs) {
    int limit = parts.admission.limit(job.workspace());
    int used = parts.shares.acceleratorsInUse(job.workspace());
    int needed = job.shape.totalAccelerators();
    Reservation reservation = parts.reservations.of(job);
    List<String> waitsFor = new ArrayList<>();
    waitsFor.add(GuaranteeCheck.describe(job.shape));
    List<String> wouldStartIf = new ArrayList<>();
    String reason;
    long expectedStartInMs = -1;
    if (adopting) {
      reason = "the region is changing its owner; placement begins after its workers are adopted";
    } else if (job.notBeforeMs > nowMs) {
      reason = "waits before it runs again after " + job.attempts + " attempts";
      expectedStartInMs = job.notBeforeMs - nowMs;
    } else if (used + needed > limit) {
      reason = "its workspace uses " + used + " of at most " + limit + " accelerators";
      wouldStartIf.add((used + needed - limit) + " accelerators of its workspace become free");
    } else if (reservation != null) {
      reason = "has a reservation; later jobs must not delay it";
      reservation.workers().forEach(w -> waitsFor.add("worker " + w.id));
      expectedStartInMs = Math.max(0, reservation.startMs() - nowMs);
    } else {
      reason =
          parts.pool.free.total() < needed
              ? "only " + parts.pool.free.total() + " accelerators are free"
              : "the free accelerators do not match its shape or are reserved for others";
      Reservation possible = parts.planner.plan(job, nowMs);
      if (possible != null) {
        expectedStartInMs = Math.max(0, possible.startMs() - nowMs);
        wouldStartIf.add(
            "running jobs end as expected on " + possible.workers().size() + " workers");
      }
    }
    return new Explanation(
        job.key(),
        "queued",
        position(job, order, nowMs),
        reason,
        waitsFor,
        wouldStartIf,
        expectedStartInMs);
  }

  private int position(Job job, JobOrderPolicy order, long nowMs) {
    double score = order.score(job, nowMs);
    int position = 1;
    for (SortedSet<Job> lane : parts.queue.lanes()) {
      for (Job other : lane) {
        if (other != job && order.score(other, nowMs) < score) {
          position++;
        }
      }
    }
    return position;
  }

  static Explanation unknown(RequestKey key) {
    return new Explanation(
        key, "unknown", 0, "the region has no such job", List.of(), List.of(), -1);
  }
}
