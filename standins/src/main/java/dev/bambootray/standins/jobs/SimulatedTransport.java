package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.scheduling.JobEffect;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.StartReply.Reason;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Delivers an owner's calls to simulated workers with latency and faults: unreachable workers,
 * calls that are not answered but carried out seconds later, and lists that arrive out of order.
 */
final class SimulatedTransport {
  private static final long HOLD_CHECK_MS = 10;

  /** Latency of a message to a worker in another region. */
  private static final long ONE_WAY_LATENCY_MS = 20;

  private static final long CALL_TIMEOUT_MS = 300;

  /** Time that the owner adds to the wait of a hold call to get its limit. */
  private static final long HOLD_MARGIN_MS = 900;

  private static final long MIN_DELAY_MS = 2_000;
  private static final int MAX_EXTRA_DELAY_MS = 8_000;

  private final Random random;
  private final Map<String, SimulatedPoolWorker> workers;
  private final PoolSimulation pool;
  private final PoolSimulation.Observer observer;
  private final CallProcessor processor;
  private double delayedCallShare;
  private int startAnswersToLose;
  private final MessageDelays startOrderDelays = new MessageDelays();
  private int listDelayMs;
  private Predicate<JobEffect.HoldWorker> isHoldToDelay = hold -> false;
  private long holdDelayMs;
  private int closingLists;
  private long lastFaultMs = Long.MIN_VALUE / 2;

  /**
   * Creates a transport.
   *
   * @param workers workers by identifier; workers may be added later
   * @param pool provides the virtual time and runs delayed actions
   */
  SimulatedTransport(
      long seed,
      Map<String, SimulatedPoolWorker> workers,
      PoolSimulation pool,
      PoolSimulation.Observer observer) {
    random = new Random(seed);
    this.workers = workers;
    this.pool = pool;
    this.observer = observer;
    processor = new CallProcessor(pool);
  }

  /** Sets the processor time that each of the owner's calls takes from now on. */
  void setCallCostMicros(long value) {
    processor.setCallCostMicros(value);
  }

  /** Sets the share of calls that are not answered and are carried out seconds later. */
  void setDelayedCallShare(double value) {
    delayedCallShare = value;
  }

  /** Drops the answers to the next start orders, which are carried out without delay. */
  void loseNextStartAnswers(int count) {
    startAnswersToLose = count;
  }

  /** Delays the next start orders; each reaches the process that has the identifier by then. */
  void delayNextStartOrders(int count, long delayMs) {
    if (delayMs > CALL_TIMEOUT_MS - 2 * ONE_WAY_LATENCY_MS) {
      throw new IllegalArgumentException("the call would time out after a delay of " + delayMs);
    }
    startOrderDelays.delayNext(count, delayMs);
  }

  /** Keeps the next of certain hold calls on its way for longer, as a paused owner would. */
  void delayNextHold(Predicate<JobEffect.HoldWorker> which, long byMs) {
    isHoldToDelay = which;
    holdDelayMs = byMs;
  }

  /** Lets workers close their connections after each of the next lists of runs. */
  void closeConnectionsAfterLists(int count) {
    closingLists = count;
  }

  void setListDelayMs(int value) {
    listDelayMs = value;
  }

  /** Returns the time of the last lost call or call to an unreachable worker. */
  long lastFaultMs() {
    return lastFaultMs;
  }

  /** Sends a start order; the answer arrives later. */
  void start(JobEffect.StartRun start, long epoch, Consumer<JobEvent> answer) {
    CallProcessor.Call call =
        processor.call(
            epoch,
            CALL_TIMEOUT_MS,
            new JobEvent.StartAnswered(
                start.worker(), start.run(), new StartReply.Refused(Reason.NOT_SENT)),
            new JobEvent.StartAnswered(
                start.worker(), start.run(), new StartReply.Unknown("no answer in time")),
            answer);
    long delayMs = ONE_WAY_LATENCY_MS + startOrderDelays.takeMs();
    call.send(() -> pool.schedule(delayMs, () -> arrive(start, epoch, call::answer)));
  }

  /** Sends a stop order; the answer arrives later. */
  void stop(JobEffect.StopRun stop, long epoch, Consumer<JobEvent> answer) {
    JobEvent failed = new JobEvent.StopAnswered(stop.worker(), stop.run(), false);
    CallProcessor.Call call = processor.call(epoch, CALL_TIMEOUT_MS, failed, failed, answer);
    call.send(() -> pool.schedule(ONE_WAY_LATENCY_MS, () -> arrive(stop, epoch, call::answer)));
  }

  /** Sends a hold call, which is answered after the end of a run or the requested wait. */
  void hold(JobEffect.HoldWorker hold, long epoch, Consumer<JobEvent> answer) {
    long sentMs = pool.nowMs();
    Function<HoldReply, JobEvent> event =
        reply -> new JobEvent.HoldAnswered(hold.worker(), reply, sentMs, hold.refresh());
    if (isConnectionClosed(hold, workers.get(hold.worker().id()))) {
      pool.schedule(0, () -> answer.accept(event.apply(new HoldReply.NotSent())));
      return;
    }
    HoldReply unsent =
        hold.connection() == 0 ? new HoldReply.Failed("not sent in time") : new HoldReply.NotSent();
    CallProcessor.Call call =
        processor.call(
            epoch,
            hold.waitMs() + HOLD_MARGIN_MS,
            event.apply(unsent),
            event.apply(new HoldReply.Failed("no answer in time")),
            answer);
    long delayMs = ONE_WAY_LATENCY_MS + extraDelayMs(hold);
    call.send(() -> pool.schedule(delayMs, () -> arrive(hold, epoch, call, event)));
  }

  private void arrive(
      JobEffect.HoldWorker hold,
      long epoch,
      CallProcessor.Call call,
      Function<HoldReply, JobEvent> event) {
    BiConsumer<Long, HoldReply> reply =
        (delayMs, list) -> pool.schedule(delayMs, () -> call.answer(event.apply(list)));
    SimulatedPoolWorker worker = workers.get(hold.worker().id());
    arrive(hold, worker, epoch, pool.nowMs() + hold.waitMs(), reply);
  }

  private long extraDelayMs(JobEffect.HoldWorker hold) {
    if (!isHoldToDelay.test(hold)) {
      return 0;
    }
    isHoldToDelay = later -> false;
    return holdDelayMs;
  }

  private void arrive(JobEffect.StartRun start, long epoch, Consumer<JobEvent> answer) {
    String id = start.worker().id();
    RunName run = start.run();
    if (isReplaced(id)) {
      StartReply restarted = new StartReply.WorkerRestarted();
      pool.schedule(
          ONE_WAY_LATENCY_MS,
          () -> answer.accept(new JobEvent.StartAnswered(start.worker(), run, restarted)));
      return;
    }
    if (isUnreachable(id)) {
      StartReply silent = new StartReply.Unknown("silent");
      pool.schedule(
          CALL_TIMEOUT_MS,
          () -> answer.accept(new JobEvent.StartAnswered(start.worker(), run, silent)));
      return;
    }
    SimulatedPoolWorker worker = pool.worker(id);
    if (isDelayed()) {
      pool.schedule(
          MIN_DELAY_MS + random.nextInt(MAX_EXTRA_DELAY_MS),
          () -> {
            if (!worker.isGone()) {
              carryOut(start, worker, epoch);
            }
          });
      StartReply late = new StartReply.Unknown("late");
      pool.schedule(
          CALL_TIMEOUT_MS,
          () -> answer.accept(new JobEvent.StartAnswered(start.worker(), run, late)));
      return;
    }
    StartReply reply = carryOut(start, worker, epoch);
    if (startAnswersToLose > 0) {
      startAnswersToLose--;
      StartReply lost = new StartReply.Unknown("lost");
      pool.schedule(
          CALL_TIMEOUT_MS,
          () -> answer.accept(new JobEvent.StartAnswered(start.worker(), run, lost)));
      return;
    }
    if (reply instanceof StartReply.Refused refused && refused.reason() == Reason.NO_ROOM) {
      observer.onNoRoom(worker, run);
    }
    pool.schedule(
        ONE_WAY_LATENCY_MS,
        () -> answer.accept(new JobEvent.StartAnswered(start.worker(), run, reply)));
  }

  private StartReply carryOut(JobEffect.StartRun start, SimulatedPoolWorker worker, long epoch) {
    return worker.start(start.run(), start.untilMs(), start.checkpoint(), epoch, pool.nowMs());
  }

  private void arrive(JobEffect.StopRun stop, long epoch, Consumer<JobEvent> answer) {
    String id = stop.worker().id();
    boolean confirmed =
        !isUnreachable(id) && !isDelayed() && pool.worker(id).stop(stop.run(), epoch, pool.nowMs());
    pool.schedule(
        confirmed ? ONE_WAY_LATENCY_MS : CALL_TIMEOUT_MS,
        () -> answer.accept(new JobEvent.StopAnswered(stop.worker(), stop.run(), confirmed)));
  }

  /** Lets a call wait at the worker that it reached; it ends without an answer with that worker. */
  private void arrive(
      JobEffect.HoldWorker hold,
      @Nullable SimulatedPoolWorker worker,
      long epoch,
      long waitUntilMs,
      BiConsumer<Long, HoldReply> answer) {
    if (isConnectionClosed(hold, worker)) {
      answer.accept(ONE_WAY_LATENCY_MS, new HoldReply.Failed("the connection was closed"));
      return;
    }
    if (worker != null && worker.replacement().isPresent()) {
      // The long poll of a busy worker occupies the connection that other polls would use.
      boolean occupied = !hold.refresh() && !worker.replacement().get().runs().isEmpty();
      answer.accept(
          occupied ? CALL_TIMEOUT_MS : ONE_WAY_LATENCY_MS,
          occupied ? new HoldReply.Failed("no answer") : new HoldReply.WorkerRestarted());
      return;
    }
    if (worker == null || isUnreachable(hold.worker().id()) || worker.isGone()) {
      answer.accept(CALL_TIMEOUT_MS, new HoldReply.Failed("silent"));
      return;
    }
    worker.acknowledged(hold.acknowledged()).forEach(observer::onAcknowledged);
    HoldReply reply = worker.hold(hold.acknowledged(), hold.untilMs(), epoch, pool.nowMs());
    boolean ended = reply instanceof HoldReply.Listed listed && !listed.ended().isEmpty();
    if (!ended && pool.nowMs() < waitUntilMs) {
      pool.schedule(HOLD_CHECK_MS, () -> arrive(hold, worker, epoch, waitUntilMs, answer));
      return;
    }
    if (closingLists > 0) {
      closingLists--;
      worker.closeConnection();
    }
    answer.accept(ONE_WAY_LATENCY_MS + (listDelayMs == 0 ? 0 : random.nextInt(listDelayMs)), reply);
  }

  /** Returns whether a call is bound to a connection that has ended with an earlier process. */
  private static boolean isConnectionClosed(
      JobEffect.HoldWorker hold, @Nullable SimulatedPoolWorker worker) {
    return hold.connection() != 0
        && worker != null
        && (hold.connection() != worker.connection() || worker.replacement().isPresent());
  }

  private boolean isReplaced(String worker) {
    SimulatedPoolWorker target = workers.get(worker);
    return target != null && target.replacement().isPresent();
  }

  private boolean isUnreachable(String worker) {
    SimulatedPoolWorker target = workers.get(worker);
    boolean unreachable = target == null || target.isUnreachable() || target.isGone();
    lastFaultMs = unreachable ? pool.nowMs() : lastFaultMs;
    return unreachable;
  }

  private boolean isDelayed() {
    boolean late = delayedCallShare > 0 && random.nextDouble() < delayedCallShare;
    lastFaultMs = late ? pool.nowMs() : lastFaultMs;
    return late;
  }
}
