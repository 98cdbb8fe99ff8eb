package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunningTask;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Polls workers for their runs, renews their leases and detects lost workers. */
final class WorkerCalls {
  /** Delay before the next call if the worker lists only ends that cannot be acknowledged yet. */
  private static final long UNACKNOWLEDGED_PAUSE_MS = 150;

  /** Longest delay between calls to a worker that does not answer. */
  private static final long LONGEST_RETRY_MS = 1_000;

  private final SchedulerState state;
  private final RunTracker runs;

  WorkerCalls(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  void onListed(WorkerEntry entry, Now now) {
    WorkerState worker = state.workers.get(entry.id());
    if (worker == null) {
      worker = new WorkerState(entry);
      state.workers.put(entry.id(), worker);
      state.decided(entry.id(), "worker listed service=" + entry.service());
    } else if (entry.bornMs() > 0 && worker.bornMs > 0 && entry.bornMs() > worker.bornMs) {
      onOtherLife(worker, entry.bornMs(), now);
    }
    if (worker.entry.draining() != entry.draining()) {
      state.decided(entry.id(), "worker draining=" + entry.draining());
    }
    worker.update(entry);
    worker.listed = true;
    state.planWanted = true;
  }

  void onUnlisted(String id, Now now) {
    WorkerState worker = state.workers.get(id);
    if (worker == null) {
      return;
    }
    worker.listed = false;
    state.decided(id, "worker unlisted runs=" + worker.placements.size());
    dropIfGone(worker);
    state.planWanted = true;
  }

  void onHoldAnswered(WorkerState worker, HoldReply reply, long sentMs, boolean refresh, Now now) {
    if (refresh) {
      worker.lookInFlight = false;
    } else {
      worker.pollInFlight = false;
    }
    if (reply instanceof HoldReply.Listed listed) {
      onList(worker, listed, sentMs, now);
    } else if (reply instanceof HoldReply.OtherLife) {
      onReplaced(worker, now);
    } else if (reply instanceof HoldReply.Fenced) {
      state.emit(new JobEffect.StepDown("worker " + worker.id() + " follows a later owner"));
    } else if (reply instanceof HoldReply.Failed failed) {
      onFailed(worker, failed.detail(), now);
    }
  }

  /** Handles an answer showing that the worker has restarted: all its runs are lost. */
  void onReplaced(WorkerState worker, Now now) {
    onOtherLife(worker, 0, now);
    worker.nextCallMs = now.ms() + state.times.retryMs();
    dropIfGone(worker);
  }

  private void onFailed(WorkerState worker, String detail, Now now) {
    worker.failedCalls++;
    worker.acknowledgedSeen = 0; // The acknowledgement may not have reached the worker.
    long pauseMs = state.times.retryMs() * Math.min(worker.failedCalls, 4);
    worker.nextCallMs = now.ms() + Math.min(LONGEST_RETRY_MS, pauseMs);
    if (worker.failedCalls == 1) {
      state.decided(
          worker.id(), "worker silent runs=" + worker.placements.size() + " detail=" + detail);
      // Its runs count as lost only when its lease has expired.
    }
  }

  private void onList(WorkerState worker, HoldReply.Listed listed, long sentMs, Now now) {
    if (listed.bornMs() > 0 && worker.bornMs > 0 && listed.bornMs() != worker.bornMs) {
      onOtherLife(worker, listed.bornMs(), now);
    }
    worker.bornMs = listed.bornMs() > 0 ? listed.bornMs() : worker.bornMs;
    if (worker.failedCalls > 0) {
      state.decided(worker.id(), "worker answers again after failures=" + worker.failedCalls);
      state.planWanted = true;
    }
    worker.failedCalls = 0;
    worker.lastReplyMs = now.ms();
    worker.learnClock(listed.clockMs(), now.ms());
    Set<RunName> known = new HashSet<>();
    listed.running().forEach(running -> known.add(running.run()));
    for (RunningTask running : listed.running()) {
      onRunning(worker, running, sentMs, now);
    }
    boolean hasNewEnds = false;
    for (RunEnd end : listed.ended()) {
      known.add(end.run());
      if (end.number() > worker.seen) {
        worker.seen = end.number();
        hasNewEnds = true;
        onEnd(worker, end, now);
      }
    }
    dropUnlisted(worker, known, sentMs, now);
    worker.seenBatch = hasNewEnds ? state.batches.covering() : worker.seenBatch;
    if (!worker.adopted) {
      worker.adopted = true;
      state.planWanted = true;
    }
    // A worker with unacknowledged ends answers at once, so calls without new ends need a delay.
    worker.nextCallMs =
        hasNewEnds || listed.ended().isEmpty() ? 0 : now.ms() + UNACKNOWLEDGED_PAUSE_MS;
  }

  private void onRunning(WorkerState worker, RunningTask running, long sentMs, Now now) {
    Placement placement = worker.placements.get(running.run());
    if (placement == null) {
      if (worker.hasEndedSince(running.run(), sentMs)) {
        return; // Two calls overlapped, and the later one has already reported the end.
      }
      Optional<Task> task =
          state.job(running.run().task().job()).flatMap(job -> job.task(running.run().task()));
      if (task.isPresent()) {
        runs.stopForeign(task.get(), running.run(), worker, now);
      }
      return;
    }
    if (placement.phase == Phase.STARTING || placement.phase == Phase.ADOPTING) {
      placement.enter(Phase.RUNNING, now.ms());
      placement.percentSinceMs = now.ms();
    }
    if (placement.percent != running.percent()) {
      placement.percent = running.percent();
      placement.percentSinceMs = now.ms();
    }
    if (!running.checkpoint().isEmpty() && placement.isCurrent()) {
      placement.task.checkpoint = running.checkpoint();
    }
  }

  private void onEnd(WorkerState worker, RunEnd end, Now now) {
    Placement placement = worker.placements.get(end.run());
    if (placement == null) {
      return;
    }
    if (placement.phase == Phase.ADOPTING) {
      placement.enter(Phase.RUNNING, now.ms());
    }
    runs.finish(placement, end.cause(), end.checkpoint(), now);
  }

  /** Ends the runs that are missing from a list that is recent enough to contain them. */
  private void dropUnlisted(WorkerState worker, Set<RunName> known, long sentMs, Now now) {
    for (Placement placement : List.copyOf(worker.placements.values())) {
      if (known.contains(placement.run) || placement.phaseSinceMs > sentMs) {
        continue;
      }
      switch (placement.phase) {
        case ADOPTING -> runs.lost(placement, "not at the worker at takeover", now);
        case RUNNING -> runs.lost(placement, "not listed any more", now);
        case STOPPING -> {
          if (placement.stopConfirmed) {
            runs.finish(placement, RunEnd.Cause.STOPPED, "", now);
          }
        }
        case ORDERED, STARTING -> {}
      }
    }
  }

  private void onOtherLife(WorkerState worker, long bornMs, Now now) {
    state.decided(worker.id(), "worker restarted runs=" + worker.placements.size());
    for (Placement placement : List.copyOf(worker.placements.values())) {
      runs.lost(placement, "the worker has restarted", now);
    }
    worker.restart(bornMs);
  }

  /** Ends all runs of unresponsive workers whose leases have certainly expired. */
  void lapse(Now now) {
    for (WorkerState worker : List.copyOf(state.workers.values())) {
      if (worker.isSilent() && now.ms() > worker.leaseEndMs) {
        for (Placement placement : List.copyOf(worker.placements.values())) {
          runs.lost(placement, "its lease has run out", now);
        }
        dropIfGone(worker);
      }
    }
  }

  /** Sends all due calls to all workers. */
  void callAll(Now now) {
    for (WorkerState worker : List.copyOf(state.workers.values())) {
      call(worker, now);
    }
  }

  /** Sends all due calls to a worker. */
  void call(WorkerState worker, Now now) {
    if (!worker.hasAddress()) {
      return;
    }
    runs.repeatStops(worker, now);
    boolean durable = state.batches.isDurable(worker.seenBatch);
    worker.durableSeen = durable ? worker.seen : worker.durableSeen;
    if (worker.lookWanted && !worker.lookInFlight && worker.failedCalls == 0) {
      worker.lookWanted = false;
      if (worker.pollInFlight) {
        worker.lookInFlight = true;
        hold(worker, 0, true, now);
        return;
      }
    }
    if (worker.pollInFlight || now.ms() < worker.nextCallMs) {
      return;
    }
    boolean busy = worker.placements.values().stream().anyMatch(WorkerCalls::isAtWorker);
    boolean unacknowledged = worker.acknowledgedSeen < worker.durableSeen;
    boolean settling = worker.durableSeen < worker.seen;
    if (settling && now.ms() - worker.lastReplyMs < UNACKNOWLEDGED_PAUSE_MS) {
      return;
    }
    boolean unknown =
        worker.listed && (!worker.adopted || worker.failedCalls > 0 || worker.needsClock(now.ms()));
    if (busy || unacknowledged || settling || unknown) {
      worker.pollInFlight = true;
      boolean wait = busy && worker.adopted && worker.failedCalls == 0 && !settling;
      hold(worker, wait ? state.times.holdWaitMs() : 0, false, now);
    }
  }

  private void hold(WorkerState worker, long waitMs, boolean refresh, Now now) {
    boolean extend =
        worker.adopted
            && worker.failedCalls == 0
            && worker.knowsClock()
            && !worker.placements.isEmpty();
    long untilMs = extend ? worker.leaseUntilMs(now.ms(), state.times.leaseMs()) : 0;
    if (extend) {
      worker.leaseEndMs = Math.max(worker.leaseEndMs, now.ms() + state.times.leaseBoundMs());
    }
    worker.acknowledgedSeen = worker.durableSeen;
    state.emit(
        new JobEffect.HoldWorker(worker.entry, worker.durableSeen, untilMs, waitMs, refresh));
  }

  private static boolean isAtWorker(Placement placement) {
    return placement.phase != Phase.ORDERED;
  }

  private void dropIfGone(WorkerState worker) {
    boolean settled = worker.placements.isEmpty() && worker.acknowledgedSeen >= worker.seen;
    if (!worker.listed && (settled || worker.isSilent()) && worker.placements.isEmpty()) {
      state.workers.remove(worker.id());
    }
  }
}
