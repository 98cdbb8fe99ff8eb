package dev.bambootray.ports;

import dev.bambootray.jobs.scheduling.JobEffect.HoldWorker;
import dev.bambootray.jobs.scheduling.JobEffect.StartRun;
import dev.bambootray.jobs.scheduling.JobEffect.StopRun;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.StartReply;
import java.util.concurrent.CompletableFuture;

/**
 * Workers that run tasks of jobs. Futures complete on a traffic thread, never with a throw. A
 * worker refuses orders of a lower epoch than it has seen.
 */
public interface JobWorkers {

  /** Starts a run. */
  CompletableFuture<StartReply> start(StartRun order, long epoch, long timeoutMs);

  /** Stops a run; completes with whether the worker has taken the order. */
  CompletableFuture<Boolean> stop(StopRun order, long epoch, long timeoutMs);

  /** Extends leases, acknowledges ends and lists runs. */
  CompletableFuture<HoldReply> hold(HoldWorker order, long epoch, long timeoutMs);
}
