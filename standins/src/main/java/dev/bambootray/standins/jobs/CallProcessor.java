package dev.bambootray.standins.jobs;

import dev.bambootray.jobs.scheduling.JobEvent;
import java.util.function.Consumer;

/**
 * Serves the owner's calls one after the other, in order of arrival, as a machine does that has too
 * little processor for them. Each owner has a machine of its own.
 */
final class CallProcessor {
  private static final long MICROS_PER_MS = 1_000;

  private final PoolSimulation pool;
  private long callCostMicros;
  private long epoch;
  private long busyUntilMicros;

  CallProcessor(PoolSimulation pool) {
    this.pool = pool;
  }

  /** Sets the processor time of each call; half of it is spent on its answer. */
  void setCallCostMicros(long value) {
    callCostMicros = value;
  }

  /**
   * Prepares a call.
   *
   * @param callEpoch epoch of its owner
   * @param limitMs time after which the owner gives it up
   * @param unsent event if it waits for so long that it is not sent
   * @param unanswered event if it was sent and its answer is not served in time
   * @param answer receives the only event
   */
  Call call(
      long callEpoch,
      long limitMs,
      JobEvent unsent,
      JobEvent unanswered,
      Consumer<JobEvent> answer) {
    return new Call(callEpoch, limitMs, unsent, unanswered, answer);
  }

  /** A call that is sent and answered once the processor gets to it, and has a time limit. */
  final class Call {
    private final long callEpoch;
    private final long limitMs;
    private final JobEvent unsent;
    private final JobEvent unanswered;
    private final Consumer<JobEvent> answer;
    private boolean sent;
    private boolean ended;

    private Call(
        long callEpoch,
        long limitMs,
        JobEvent unsent,
        JobEvent unanswered,
        Consumer<JobEvent> answer) {
      this.callEpoch = callEpoch;
      this.limitMs = limitMs;
      this.unsent = unsent;
      this.unanswered = unanswered;
      this.answer = answer;
    }

    /** Sends the call unless its time is up before the processor gets to it. */
    void send(Runnable transmit) {
      if (callCostMicros == 0) {
        transmit.run();
        return;
      }
      pool.schedule(limitMs, () -> end(sent ? unanswered : unsent));
      serve(
          callEpoch,
          () -> {
            if (!ended) {
              sent = true;
              transmit.run();
            }
          });
    }

    /** Ends the call with an event of the worker, which is late if the time is up. */
    void answer(JobEvent event) {
      serve(callEpoch, () -> end(event));
    }

    private void end(JobEvent event) {
      if (!ended) {
        ended = true;
        answer.accept(event);
      }
    }
  }

  private void serve(long callEpoch, Runnable action) {
    if (callCostMicros == 0) {
      action.run();
      return;
    }
    long nowMicros = pool.nowMs() * MICROS_PER_MS;
    if (callEpoch > epoch) {
      epoch = callEpoch;
      busyUntilMicros = nowMicros;
    }
    if (callEpoch == epoch) {
      busyUntilMicros = Math.max(busyUntilMicros, nowMicros) + callCostMicros / 2;
      pool.schedule((busyUntilMicros - nowMicros) / MICROS_PER_MS, action);
    } else {
      action.run(); // The machine of a former owner has nothing else to do.
    }
  }
}
