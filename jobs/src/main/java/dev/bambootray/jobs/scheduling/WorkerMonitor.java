package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.ListedRun;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Learns from the registry and from lists of runs what workers do, and detects lost workers. */
final class WorkerMonitor {
  /** Longest delay between calls to a worker that does not answer. */
  private static final long MAX_RETRY_MS = 1_000;

  private static final String RESTARTED = "the worker has restarted";

  private final SchedulerState state;
  private final RunTracker runs;
  private final WorkerPoller poller;
  private final CrashTracker crashes;

  WorkerMonitor(SchedulerState state, RunTracker runs, WorkerPoller poller) {
    this.state = state;
    this.runs = runs;
    this.poller = poller;
    crashes = new CrashTracker(state, runs);
  }

  void onListed(WorkerEntry entry, EventTime now) {
    WorkerState worker = state.workers.get(entry.id());
    boolean restarted = false;
    if (worker == null) {
      worker = new WorkerState(entry);
      state.workers.put(entry.id(), worker);
      state.logDecision(entry.id(), "worker listed service=" + entry.service());
    } else if (worker.isFormerProcess(entry.bornMs())) {
      state.logDecision(
          entry.id(),
          "late entry ignored born_ms=" + entry.bornMs() + " known_ms=" + worker.bornMs);
      return;
    } else if (entry.bornMs() != worker.entry.bornMs() && worker.isAnotherProcess(entry.bornMs())) {
      restarted = true;
      onOtherProcessListed(worker, entry.bornMs(), now);
    }
    if (worker.entry.draining() != entry.draining()) {
      state.logDecision(entry.id(), "worker draining=" + entry.draining());
    }
    worker.update(entry);
    state.updateDomain(worker);
    worker.listed = true;
    state.planWanted = true;
    if (restarted) {
      poller.sendDueCalls(worker, now);
    }
  }

  /** Handles an entry of another process, which may be older than what a list has shown. */
  private void onOtherProcessListed(WorkerState worker, long bornMs, EventTime now) {
    if (bornMs > worker.bornMs) {
      onRestart(worker, bornMs, "registry", now);
      return;
    }
    // Either the entry is late or the machine's wall clock went back, which the next list tells.
    state.logDecision(
        worker.id(),
        "worker listed with an earlier start born_ms=" + bornMs + " known_ms=" + worker.bornMs);
    worker.adopted = false;
    worker.nextCallMs = 0;
  }

  void onUnlisted(String id, EventTime now) {
    WorkerState worker = state.workers.get(id);
    if (worker == null) {
      return;
    }
    worker.listed = false;
    state.logDecision(id, "worker unlisted runs=" + worker.placements.size());
    dropIfGone(worker);
    state.planWanted = true;
  }

  void onHoldAnswered(WorkerState worker, JobEvent.HoldAnswered answered, EventTime now) {
    if (answered.refresh()) {
      worker.refreshInFlight = false;
    } else {
      worker.pollInFlight = false;
    }
    HoldReply reply = answered.reply();
    if (reply instanceof HoldReply.Listed listed) {
      onList(worker, listed, answered, now);
    } else if (reply instanceof HoldReply.Fenced) {
      state.emit(new JobEffect.StepDown("worker " + worker.id() + " follows a later owner"));
    } else if (!worker.isCurrent(answered.worker())) {
      return; // The call tells nothing of the known process.
    } else if (reply instanceof HoldReply.WorkerRestarted) {
      onRefused(worker, now);
    } else if (reply instanceof HoldReply.NotSent) {
      // A new list tells whether the worker has restarted; that it is silent is not known.
      worker.connection.onNotSent();
      worker.ends.onFailed();
      worker.nextCallMs = 0;
    } else if (reply instanceof HoldReply.Failed failed) {
      onFailed(worker, failed.detail(), now);
    }
  }

  private void onRefused(WorkerState worker, EventTime now) {
    if (worker.knowsAddress()) {
      onRestartReported(worker, now);
    } else {
      onFailed(worker, "another worker has the address in an entry of another process", now);
    }
  }

  /** Handles an answer by another worker at the known address: all runs are lost. */
  void onRestartReported(WorkerState worker, EventTime now) {
    logRestart(worker, 0, "refused call");
    List<Placement> lost = List.copyOf(worker.placements.values());
    lost.forEach(placement -> runs.onLost(placement, RESTARTED, now));
    crashes.onCrashed(worker, lost, now);
    worker.restart(0);
    worker.listed = false; // It is gone, whatever the registry shows, until its entry changes.
    worker.nextCallMs = now.ms() + state.times.retryMs();
    dropIfGone(worker);
  }

  private void onFailed(WorkerState worker, String detail, EventTime now) {
    worker.failedCalls++;
    worker.ends.onFailed();
    worker.connection.onFailed();
    long pauseMs = state.times.retryMs() * Math.min(worker.failedCalls, 4);
    worker.nextCallMs = now.ms() + Math.min(MAX_RETRY_MS, pauseMs);
    if (worker.failedCalls == 1) {
      worker.silentSinceMs = now.ms();
      state.logDecision(
          worker.id(), "worker silent runs=" + worker.placements.size() + " detail=" + detail);
      // Its runs count as lost only when its lease has expired.
    }
  }

  private void onList(
      WorkerState worker, HoldReply.Listed listed, JobEvent.HoldAnswered answered, EventTime now) {
    long sentMs = answered.sentMs();
    if (listed.bornMs() != worker.bornMs && !worker.isCurrent(answered.worker())) {
      worker.nextCallMs = 0; // An earlier process has answered.
      return;
    }
    if (worker.isAnotherProcess(listed.bornMs())) {
      onRestart(worker, listed.bornMs(), "list", now);
    }
    worker.bornMs = listed.bornMs() > 0 ? listed.bornMs() : worker.bornMs;
    worker.confirmProcess();
    worker.connection.onListed(listed.connection(), answered.refresh());
    if (worker.failedCalls > 0) {
      state.logDecision(worker.id(), "worker answers again after failures=" + worker.failedCalls);
      worker.placements.values().forEach(placement -> placement.stopOrders = 0);
      state.planWanted = true;
    }
    worker.failedCalls = 0;
    worker.lastReplyMs = now.ms();
    worker.recordClock(listed.clockMs(), now.ms());
    Set<RunName> known = new HashSet<>();
    listed.running().forEach(running -> known.add(running.run()));
    for (ListedRun running : listed.running()) {
      onRunning(worker, running, sentMs, now);
    }
    boolean hasNewEnds = false;
    for (RunEnd end : listed.ended()) {
      known.add(end.run());
      if (worker.ends.recordListed(end.number())) {
        hasNewEnds = true;
        onEnd(worker, end, now);
      }
    }
    long keptUntilMs = 0;
    if (listed.endsCutOff()) {
      keepUnlisted(worker, known, now);
    } else {
      keptUntilMs = dropUnlisted(worker, known, sentMs, now);
    }
    worker.silentSinceMs = -1;
    if (hasNewEnds) {
      worker.ends.storeWith(state.batches.latestChangeBatch());
    }
    if (!worker.adopted) {
      worker.adopted = true;
      state.planWanted = true;
    }
    // A worker with unacknowledged ends answers at once, so calls without new ends need a delay.
    worker.refreshWanted |= keptUntilMs > 0;
    boolean unacknowledged = !hasNewEnds && !listed.ended().isEmpty();
    worker.nextCallMs =
        unacknowledged ? now.ms() + WorkerPoller.UNACKNOWLEDGED_RETRY_MS : keptUntilMs;
  }

  private void onRunning(WorkerState worker, ListedRun running, long sentMs, EventTime now) {
    Placement placement = worker.placements.get(running.run());
    if (placement == null) {
      if (worker.hasEndedSince(running.run(), sentMs)) {
        return; // Two calls overlapped, and the later one has already reported the end.
      }
      Optional<Task> task =
          state.job(running.run().task().job()).flatMap(job -> job.task(running.run().task()));
      if (task.isPresent()) {
        runs.stopUnexpected(task.get(), running.run(), worker, now);
      }
      return;
    }
    placement.workerBornMs = worker.bornMs;
    placement.listed = true;
    if (placement.phase == Phase.STARTING || placement.phase == Phase.ADOPTING) {
      placement.enterPhase(Phase.RUNNING, now.ms());
      placement.percentSinceMs = now.ms();
      placement.task.step.onRunStarted();
    }
    if (placement.percent != running.percent()) {
      placement.percent = running.percent();
      placement.percentSinceMs = now.ms();
    }
    if (!running.checkpoint().isEmpty() && placement.isCurrent()) {
      placement.task.checkpoint = running.checkpoint();
    }
  }

  private void onEnd(WorkerState worker, RunEnd end, EventTime now) {
    Placement placement = worker.placements.get(end.run());
    if (placement == null) {
      return;
    }
    if (placement.phase == Phase.ADOPTING) {
      placement.enterPhase(Phase.RUNNING, now.ms());
    }
    runs.finish(placement, end.cause(), end.checkpoint(), now);
  }

  /** Keeps the runs that are missing from a list without all ends: it may lack theirs. */
  private void keepUnlisted(WorkerState worker, Set<RunName> known, EventTime now) {
    int missing = 0;
    for (Placement placement : worker.placements.values()) {
      if (!known.contains(placement.run)) {
        placement.percentSinceMs = now.ms(); // Its progress is not known.
        missing++;
      }
    }
    if (!worker.endsCutOff) {
      worker.endsCutOff = true;
      state.logDecision(worker.id(), "list of ends cut off runs_not_listed=" + missing);
    }
  }

  /**
   * Ends the runs that are missing from a list that is recent enough to contain them.
   *
   * @return time of the next list that tells whether adopted runs are there, 0 if none is needed
   */
  private long dropUnlisted(WorkerState worker, Set<RunName> known, long sentMs, EventTime now) {
    worker.endsCutOff = false;
    long keptUntilMs = 0;
    List<Placement> crashed = new ArrayList<>();
    for (Placement placement : worker.placements.values()) {
      boolean restarted = placement.workerBornMs != worker.bornMs;
      if (restarted && !known.contains(placement.run) && placement.phaseSinceMs <= sentMs) {
        crashed.add(placement);
      }
    }
    for (Placement placement : List.copyOf(worker.placements.values())) {
      if (known.contains(placement.run)) {
        continue;
      }
      boolean restarted = placement.workerBornMs != worker.bornMs;
      if (placement.phaseSinceMs > sentMs) {
        worker.refreshWanted |= restarted && placement.phase == Phase.RUNNING;
        continue;
      }
      switch (placement.phase) {
        case ADOPTING -> {
          // An order of the previous owner may still reach the next process of the worker.
          long ordersEndMs = placement.phaseSinceMs + SchedulerTimes.ORDER_TIMEOUT_MS;
          if (sentMs < ordersEndMs) {
            keptUntilMs = Math.max(keptUntilMs, ordersEndMs);
          } else {
            runs.onLost(placement, "not at the worker at takeover", now);
          }
        }
        case RUNNING -> onRunMissing(placement, restarted, now);
        case STOPPING -> {
          if (placement.stopConfirmed) {
            runs.finish(placement, RunEnd.Cause.STOPPED, "", now);
          }
        }
        case STARTING -> runs.onStartNotListed(placement, sentMs, now);
        case ORDERED -> {}
      }
    }
    crashes.onCrashed(worker, crashed, now);
    return keptUntilMs;
  }

  private void onRunMissing(Placement placement, boolean restarted, EventTime now) {
    if (restarted && placement.openOrders > 0) {
      // The new process may still get an order to start it, which a stop order prevents.
      runs.stopWithGang(placement, StopCause.START_UNANSWERED, RESTARTED, now);
      return;
    }
    runs.onLost(placement, restarted ? RESTARTED : "not listed any more", now);
  }

  /**
   * Handles a restart of a worker under its identifier. Runs whose start was ordered may have been
   * started before or after it, so the next list of runs decides which of them are lost.
   */
  private void onRestart(WorkerState worker, long bornMs, String source, EventTime now) {
    logRestart(worker, bornMs, source);
    for (Placement placement : List.copyOf(worker.placements.values())) {
      if (placement.phase == Phase.ORDERED) {
        // Its lease is measured by the clock of the previous process.
        runs.stop(placement, StopCause.START_UNANSWERED, RESTARTED, now);
      } else if (placement.phase == Phase.STOPPING) {
        // The new process has not seen the stop, so that a late order would start the run there.
        placement.resetStop();
      }
    }
    // The new process may have been granted leases by the clock of the previous one.
    worker.leaseEndMs =
        Math.max(worker.leaseEndMs, worker.leaseSentMs + state.times.restartedLeaseBoundMs());
    worker.drainedBeforeRestart = worker.entry.draining();
    worker.restart(bornMs);
    worker.refreshWanted = true;
    worker.nextCallMs = 0;
  }

  private void logRestart(WorkerState worker, long bornMs, String source) {
    state.logDecision(
        worker.id(),
        "worker restarted source="
            + source
            + " born_ms="
            + bornMs
            + " previous_born_ms="
            + worker.bornMs
            + " runs="
            + worker.placements.size());
  }

  /** Ends all runs of unresponsive workers whose leases have certainly expired. */
  void expireLeases(EventTime now) {
    for (WorkerState worker : List.copyOf(state.workers.values())) {
      if (!worker.isUnresponsive() || now.ms() <= worker.leaseEndMs) {
        continue;
      }
      for (Placement placement : List.copyOf(worker.placements.values())) {
        if (now.ms() > worker.leaseEndMs(placement, state.times)) {
          runs.onLost(placement, "its lease has run out", now);
        }
      }
      dropIfGone(worker);
    }
  }

  private void dropIfGone(WorkerState worker) {
    boolean settled = worker.placements.isEmpty() && worker.ends.isComplete();
    if (!worker.listed && (settled || worker.isUnresponsive()) && worker.placements.isEmpty()) {
      state.workers.remove(worker.id());
    }
  }
}
