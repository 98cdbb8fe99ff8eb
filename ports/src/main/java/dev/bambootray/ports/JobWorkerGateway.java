package dev.bambootray.ports;

import dev.bambootray.jobs.scheduling.JobEffect.HoldWorker;
import dev.bambootray.jobs.scheduling.JobEffect.StartRun;
import dev.bambootray.jobs.scheduling.JobEffect.StopRun;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.StartReply;
import java.util.concurrent.CompletableFuture;

/**
 * Sends commands to the workers that run tasks of jobs. Futures complete on a traffic thread and
 * never exceptionally. A worker refuses commands with a lower epoch than the highest that it has
 * seen.
 */
public interface JobWorkerGateway {

  /** Starts a run. */
  CompletableFuture<StartReply> start(StartRun order, long epoch, long timeoutMs);

  /** Stops a run; completes with whether the worker has accepted the command. */
  CompletableFuture<Boolean> stop(StopRun order, long epoch, long timeoutMs);

  /** Extends leases, acknowledges ends and lists runs. */
  CompletableFuture<HoldReply> hold(HoldWorker order, long epoch, long timeoutMs);
}
