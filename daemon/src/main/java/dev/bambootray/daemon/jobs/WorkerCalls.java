package dev.bambootray.daemon.jobs;

import dev.bambootray.daemon.jobs.CallLatencies.Kind;
import dev.bambootray.jobs.scheduling.JobEffect;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.ports.JobWorkerGateway;

/** Makes the scheduler's calls to workers, and turns their outcomes into its events. */
final class WorkerCalls {
  private final JobWorkerGateway workers;
  private final DecisionLog log;
  private final JobMetrics metrics;
  private final CallAnswers answers;

  /**
   * Creates an instance.
   *
   * @param workers sends the calls
   * @param log gets a line for each call that fails unexpectedly
   * @param metrics counts the orders
   * @param answers receives exactly one answer to each call
   */
  WorkerCalls(JobWorkerGateway workers, DecisionLog log, JobMetrics metrics, CallAnswers answers) {
    this.workers = workers;
    this.log = log;
    this.metrics = metrics;
    this.answers = answers;
  }

  /** Orders a worker to start a run. */
  void start(JobEffect.StartRun start, long epoch) {
    metrics.recordStart();
    long sentMs = JobNode.now().ms();
    var unused =
        workers
            .start(start, epoch, CallTimeouts.ORDER_MS)
            .exceptionally(e -> new StartReply.Unknown(failed("start", start.worker().id(), e)))
            .thenAccept(
                reply -> {
                  recordOrder(sentMs, !(reply instanceof StartReply.Unknown));
                  answers.onAnswer(
                      epoch, new JobEvent.StartAnswered(start.worker(), start.run(), reply));
                });
  }

  /** Orders a worker to stop a run. */
  void stop(JobEffect.StopRun stop, long epoch) {
    if (!stop.repeated()) {
      metrics.recordStop(stop.cause());
    }
    long sentMs = JobNode.now().ms();
    var unused =
        workers
            .stop(stop, epoch, CallTimeouts.ORDER_MS)
            .exceptionally(
                e -> {
                  failed("stop", stop.worker().id(), e);
                  return false;
                })
            .thenAccept(
                taken -> {
                  recordOrder(sentMs, taken);
                  answers.onAnswer(
                      epoch, new JobEvent.StopAnswered(stop.worker(), stop.run(), taken));
                });
  }

  /**
   * Lists the runs of a worker and extends their lease.
   *
   * @param hold the call
   * @param epoch epoch of the owner
   * @param sentMs time of the call by {@link JobNode#now}
   */
  void hold(JobEffect.HoldWorker hold, long epoch, long sentMs) {
    var unused =
        workers
            .hold(hold, epoch, hold.waitMs() + CallTimeouts.HOLD_MARGIN_MS)
            .exceptionally(e -> new HoldReply.Failed(failed("hold", hold.worker().id(), e)))
            .thenAccept(
                reply -> {
                  long durationMs = JobNode.now().ms() - sentMs - hold.waitMs();
                  boolean answered = !(reply instanceof HoldReply.Failed);
                  metrics.latencies().record(Kind.LISTS, Math.max(0, durationMs), answered);
                  answers.onAnswer(
                      epoch,
                      new JobEvent.HoldAnswered(hold.worker(), reply, sentMs, hold.refresh()));
                });
  }

  private void recordOrder(long sentMs, boolean answered) {
    metrics.latencies().record(Kind.ORDERS, JobNode.now().ms() - sentMs, answered);
  }

  /** Logs an unexpected error of a call, which then counts as unanswered. */
  private String failed(String call, String worker, Throwable error) {
    log.failure("worker:", worker, call + " failed unexpectedly", error);
    return "unexpected error " + error;
  }
}
