package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.StartReply.Reason;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Keeps start orders until their decision is in the store and few enough orders are under way.
 *
 * <p>Orders covered by a guarantee go first, the others as they were placed. The members of a gang
 * wait only for a limited time for each other, so their orders go together, and one that was not
 * sent goes before all others.
 */
final class StartQueue {
  /**
   * Orders that go out at once at first; a pool that answers in time takes a burst without delay.
   */
  private static final int INITIAL_ORDERS = 300;

  private final SchedulerState state;
  private final RunTracker runs;
  private final CallWindow<RunName> window =
      new CallWindow<>(INITIAL_ORDERS, SchedulerTimes.ORDER_TIMEOUT_MS);
  private final List<Placement> notDurable = new ArrayList<>();
  private final Deque<List<Placement>> urgent = new ArrayDeque<>();
  private final Deque<List<Placement>> others = new ArrayDeque<>();

  StartQueue(SchedulerState state, RunTracker runs) {
    this.state = state;
    this.runs = runs;
  }

  /** Adds an order whose decision is not in the store yet. */
  void add(Placement placement) {
    notDurable.add(placement);
  }

  /** Adds an order that was not sent again; it goes before the others. */
  void addAgain(Placement placement) {
    Deque<List<Placement>> queue =
        placement.task.step.isGang() ? urgent : queueOf(placement.task.step.job);
    queue.addFirst(List.of(placement));
  }

  /** Sends the orders whose decision is in the store, as far as there is room. */
  void onDurable(EventTime now) {
    List<Placement> placed = List.copyOf(notDurable);
    notDurable.clear();
    List<Placement> group = new ArrayList<>();
    for (Placement placement : placed) {
      if (!state.batches.isDurable(placement.batch)) {
        notDurable.add(placement);
        continue;
      }
      if (group.isEmpty() || !isSameGang(group.get(0), placement)) {
        group = new ArrayList<>();
        queueOf(placement.task.step.job).add(group);
      }
      group.add(placement);
    }
    send(now);
  }

  private Deque<List<Placement>> queueOf(Job job) {
    return state.coverage.covers(job) ? urgent : others;
  }

  private static boolean isSameGang(Placement one, Placement other) {
    StepInstance step = one.task.step;
    return step.isGang() && step == other.task.step && one.run.run() == other.run.run();
  }

  /** Sends waiting orders as far as there is room. */
  void send(EventTime now) {
    if (!state.isDeclarationCurrent(now.ms())) {
      return; // A newer declaration may close the failure domains of the workers.
    }
    for (List<Placement> next = next(); next != null; next = next()) {
      if (!state.batches.isConfirmed(now.ms() - state.times.ownershipMaxAgeMs())) {
        state.batches.requestConfirmation(next.get(0).task.step.job);
        return;
      }
      List<Placement> present = dropUnusable(next, now);
      if (!window.hasRoom(present.size())) {
        return;
      }
      (urgent.isEmpty() ? others : urgent).remove();
      present.forEach(placement -> runs.start(placement, now));
    }
  }

  private @Nullable List<Placement> next() {
    return urgent.isEmpty() ? others.peek() : urgent.peek();
  }

  /** Drops the waiting orders that may not be sent any more. */
  void dropUnusable(EventTime now) {
    urgent.removeIf(group -> dropUnusable(group, now).isEmpty());
    others.removeIf(group -> dropUnusable(group, now).isEmpty());
  }

  /** Drops orders of a group that may not be sent any more, and returns the others. */
  private List<Placement> dropUnusable(List<Placement> group, EventTime now) {
    for (Placement placement : group) {
      boolean mayWait =
          placement.worker.isUsable(now.ms()) && !StartRetrier.hasWaitedTooLong(placement, now);
      if (isWaiting(placement) && !mayWait) {
        runs.drop(placement, now); // With it go the other members of a gang.
      }
    }
    return group.stream().filter(StartQueue::isWaiting).toList();
  }

  /** Returns whether an order was neither sent nor dropped. */
  private static boolean isWaiting(Placement placement) {
    return placement.phase == Phase.ORDERED
        && placement.worker.placements.get(placement.run) == placement;
  }

  /** Notes that an order was sent. */
  void onSent(Placement placement, EventTime now) {
    window.onSent(placement.run, now.ms());
  }

  /** Notes the answer to an order, or that there is none. */
  void onAnswered(JobEvent.StartAnswered event, EventTime now) {
    StartReply reply = event.reply();
    boolean unsent =
        reply instanceof StartReply.Refused refused && refused.reason() == Reason.NOT_SENT;
    boolean answered = !unsent && !(reply instanceof StartReply.Unknown);
    boolean silent =
        state.worker(event.worker().id()).map(w -> w.failedCalls > 0 || !w.listed).orElse(true);
    if (!answered && silent) {
      window.forget(event.run()); // It tells of its worker only.
    } else {
      boolean waiting = !urgent.isEmpty() || !others.isEmpty();
      window.onEnded(event.run(), answered, waiting, now.ms());
    }
  }
}
