package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.worker.HoldReply;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds how many lists of runs are asked for at the same time, so that an owner that takes over a
 * large pool on a busy machine adopts some workers after the others instead of none in time.
 *
 * <p>Workers that are silent have a bound of their own, so that others do not wait for them. Its
 * calls are repeated, which would keep a machine busy that is too busy to get their answers in
 * time.
 */
final class ListQueue {
  /** Lists that are asked for at once at first, when the owner knows nothing of its own load. */
  private static final int INITIAL_LISTS = 100;

  /** Identifies a call; a worker may be asked by a poll and beside it. */
  private record Call(String worker, boolean refresh) {}

  private final CallWindow<Call> window = newWindow();
  private final CallWindow<Call> silentWindow = newWindow();

  /** Workers in the order in which their lists became due. */
  private final Set<String> waiting = new LinkedHashSet<>();

  /** Silent workers whose runs lose their leases if they answer and are not called. */
  private final Set<String> silentWithRuns = new LinkedHashSet<>();

  private final Set<String> silentWithoutRuns = new LinkedHashSet<>();

  private static CallWindow<Call> newWindow() {
    return new CallWindow<>(INITIAL_LISTS, SchedulerTimes.LIST_TIMEOUT_MS);
  }

  /** Returns whether a list may be asked for now; otherwise the worker waits for its turn. */
  boolean admit(WorkerState worker, boolean refresh, EventTime now) {
    boolean silent = worker.failedCalls > 0;
    CallWindow<Call> calls = silent ? silentWindow : window;
    if (!calls.hasRoom(1)) {
      queueOf(worker, silent).add(worker.id());
      return false;
    }
    calls.onSent(new Call(worker.id(), refresh), now.ms());
    return true;
  }

  private Set<String> queueOf(WorkerState worker, boolean silent) {
    if (!silent) {
      return waiting;
    }
    return worker.placements.isEmpty() ? silentWithoutRuns : silentWithRuns;
  }

  /** Notes the end of a call for runs; one that could wait for an end of a run does not count. */
  void onAnswered(JobEvent.HoldAnswered event, EventTime now) {
    Call call = new Call(event.worker().id(), event.refresh());
    boolean answered = event.reply() instanceof HoldReply.Listed;
    window.onEnded(call, answered, !waiting.isEmpty(), now.ms());
    boolean silentWait = !silentWithRuns.isEmpty() || !silentWithoutRuns.isEmpty();
    silentWindow.onEnded(call, answered, silentWait, now.ms());
  }

  /** Removes the worker that has waited longest, if there is room for its list. */
  Optional<String> takeNext() {
    return takeNext(waiting, window)
        .or(() -> takeNext(silentWithRuns, silentWindow))
        .or(() -> takeNext(silentWithoutRuns, silentWindow));
  }

  private static Optional<String> takeNext(Set<String> workers, CallWindow<Call> calls) {
    Iterator<String> first = workers.iterator();
    if (!first.hasNext() || !calls.hasRoom(1)) {
      return Optional.empty();
    }
    String id = first.next();
    first.remove();
    return Optional.of(id);
  }
}
