package dev.bambootray.bench.jobs;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobDeclaration.Workspace;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.scheduling.SchedulingPolicy;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import dev.bambootray.standins.jobs.PoolSimulation;
import dev.bambootray.standins.jobs.SimulatedPoolWorker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/** Plays one load against one policy and adds up what its jobs are worth. */
final class JobReplay implements PoolSimulation.Observer {
  /** Time for work to end after the last arrival, as on the users' days. */
  private static final long FINISH_MS = 14_000;

  private static final long LEAD_MS = 500;
  private static final long SLICE_MS = 10;

  /** Completions later than this multiple of the allowed time are worth nothing. */
  private static final double LATE_FACTOR = 3;

  private static final double SLOW_SPEED = 0.2;
  private static final int SLOW_OF = 6;
  private static final double UNEVEN_SPEED = 1 / 1.3;
  private static final int UNEVEN_OF = 3;
  private static final int FAILING_OF = 12;
  private static final long FAULT_FROM_MS = 10_000;
  private static final long FAULT_UNTIL_MS = 17_000;

  private final JobDeployment deployment;
  private final LoadPattern pattern;
  private final List<JobArrival> arrivals;
  private final PoolSimulation pool;
  private final Map<String, JobArrival> byId = new LinkedHashMap<>();
  private final Map<String, Long> acceptedMs = new HashMap<>();
  private final Map<String, Double> earned = new HashMap<>();
  private final Set<String> begun = new HashSet<>();
  private final Set<String> gaveUp = new HashSet<>();
  private final Histogram handleNanos = new Histogram(3);
  private long slowestGuaranteeMs;
  private double lostCoreSeconds;

  private JobReplay(
      JobDeployment deployment, LoadPattern pattern, SchedulingPolicy policy, long seed) {
    this.deployment = deployment;
    this.pattern = pattern;
    arrivals = JobLoad.draw(deployment, pattern, seed);
    pool = new PoolSimulation(seed, policy, this);
  }

  static JobReplayResult play(
      JobDeployment deployment, LoadPattern pattern, SchedulingPolicy policy, long seed) {
    return new JobReplay(deployment, pattern, policy, seed).play(FINISH_MS);
  }

  /** Plays the usual load without the time for work to end and returns the times of all events. */
  static Histogram times(JobDeployment deployment, long seed) {
    JobReplay replay =
        new JobReplay(deployment, LoadPattern.USUAL, SchedulingPolicy.STANDARD, seed);
    replay.play(0);
    return replay.handleNanos;
  }

  private JobReplayResult play(long finishMs) {
    addWorkers();
    declareGuarantees();
    pool.takeOver();
    pool.run(LEAD_MS);
    long startMs = pool.nowMs();
    int next = 0;
    while (pool.nowMs() - startMs < JobLoad.ARRIVALS_MS + finishMs) {
      long atMs = pool.nowMs() - startMs;
      while (next < arrivals.size() && arrivals.get(next).atMs() <= atMs) {
        submit(arrivals.get(next), next);
        next++;
      }
      cancelDue(atMs);
      injectFaults(atMs);
      pool.run(SLICE_MS);
    }
    return result();
  }

  private void addWorkers() {
    // Slow workers are spread over the racks.
    for (int i = 0; i < deployment.pool().workers(); i++) {
      pool.addWorkers(1, deployment.pool().perRack(), deployment.pool().capacity(), speed(i));
    }
  }

  private double speed(int worker) {
    return switch (pattern) {
      case SLOW_WORKERS -> worker % SLOW_OF == 0 ? SLOW_SPEED : 1;
      case UNEVEN_WORKERS -> worker % UNEVEN_OF == 0 ? UNEVEN_SPEED : 1;
      default -> 1;
    };
  }

  private void declareGuarantees() {
    int each = deployment.guaranteedEach();
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < deployment.workspaces(); i++) {
      workspaces.add(new Workspace("workspace" + i, List.of(), each));
    }
    pool.declare(new JobDeclaration(1, List.of(), Map.of(), workspaces, 1_000));
  }

  private void submit(JobArrival arrival, int number) {
    String id = arrival.kind().name() + number;
    byId.put(id, arrival);
    acceptedMs.put(id, pool.nowMs());
    pool.submit(
        new JobSpec(
            id,
            arrival.workspace(),
            arrival.kind().name(),
            "s",
            "",
            arrival.steps(),
            arrival.kind().objective(),
            JobSpec.Schedule.ONCE,
            pool.wallMs()),
        arrival.work());
  }

  private void cancelDue(long atMs) {
    for (Map.Entry<String, JobArrival> entry : byId.entrySet()) {
      long cancelAtMs = entry.getValue().cancelAtMs();
      if (cancelAtMs >= 0 && cancelAtMs <= atMs && gaveUp.add(entry.getKey())) {
        pool.cancel(entry.getKey());
      }
    }
  }

  private void injectFaults(long atMs) {
    if (pattern == LoadPattern.FAILING_WORKERS) {
      boolean failing = atMs >= FAULT_FROM_MS && atMs < FAULT_UNTIL_MS;
      int index = 0;
      for (SimulatedPoolWorker worker : pool.workers()) {
        worker.setFailing(failing && index % FAILING_OF == 0);
        index++;
      }
    }
    if (pattern == LoadPattern.LOST_RACK && atMs >= FAULT_FROM_MS) {
      for (SimulatedPoolWorker worker : pool.workers()) {
        if (!worker.isGone() && worker.entry().rack().equals("rack0")) {
          pool.remove(worker.entry().id());
        }
      }
    }
  }

  @Override
  public void onHandled(long nanos) {
    handleNanos.recordValue(nanos);
  }

  @Override
  public void onFinal(String job, JobPhase phase) {
    JobArrival arrival = byId.get(job);
    boolean right = arrival != null && phase == expected(arrival);
    if (arrival == null || !right) {
      return;
    }
    long tookMs = pool.nowMs() - acceptedMs.getOrDefault(job, 0L);
    double allowedMs =
        arrival.kind().objective().stretch() * arrival.chainMs()
            + arrival.kind().objective().targetLatencyMs();
    if (tookMs <= allowedMs) {
      earned.put(job, value(arrival));
    } else if (tookMs <= LATE_FACTOR * allowedMs) {
      earned.put(job, arrival.kind().value().lateShare() * value(arrival));
    }
  }

  private static JobPhase expected(JobArrival arrival) {
    return arrival.work().poisoned() ? JobPhase.FAILED : JobPhase.COMPLETED;
  }

  @Override
  public void onStart(SimulatedPoolWorker worker, RunName run) {
    String job = run.task().job();
    JobArrival arrival = byId.get(job);
    if (arrival != null && arrival.kind().objective().priority() == 0 && begun.add(job)) {
      slowestGuaranteeMs =
          Math.max(slowestGuaranteeMs, pool.nowMs() - acceptedMs.getOrDefault(job, 0L));
    }
  }

  @Override
  public void onEnd(SimulatedPoolWorker worker, RunEnd end, double unsavedMs) {
    if (end.cause() != Cause.DONE) {
      StepSpec step = pool.step(end.run().task());
      lostCoreSeconds +=
          unsavedMs
              / 1_000
              * (step.each().millicores() / 1_000.0 + 8.0 * step.each().accelerators());
    }
  }

  private JobReplayResult result() {
    Map<String, double[]> byKind = new HashMap<>();
    double wholeWork = 0;
    for (Map.Entry<String, JobArrival> entry : byId.entrySet()) {
      JobArrival arrival = entry.getValue();
      wholeWork += arrival.coreSeconds();
      boolean cancelled = pool.phase(entry.getKey()) == JobPhase.CANCELLED;
      if (cancelled) {
        continue; // A job that its caller gave up is owed nothing.
      }
      double[] sums = byKind.computeIfAbsent(arrival.kind().name(), name -> new double[2]);
      sums[0] += earned.getOrDefault(entry.getKey(), 0.0);
      sums[1] += value(arrival);
    }
    return new JobReplayResult(
        byKind,
        lostCoreSeconds / Math.max(1, wholeWork),
        lostCoreSeconds,
        slowestGuaranteeMs,
        OfflineBound.of(deployment, arrivals, FINISH_MS));
  }

  /**
   * Returns the value of a job in time: it grows with the job's work up to four times its kind's.
   */
  static double value(JobArrival arrival) {
    JobKind kind = arrival.kind();
    double relative = Math.min(4, 0.3 + 0.7 * arrival.coreSeconds() / meanWork(kind));
    return kind.value().worth() * relative;
  }

  private static double meanWork(JobKind kind) {
    double accelerators = 0;
    for (int choice : kind.size().accelerators()) {
      accelerators += (double) choice / kind.size().accelerators().size();
    }
    double cores = kind.size().each().millicores() / 1_000.0 + 8 * accelerators;
    return cores
        * kind.size().width()
        * kind.size().workMs()
        / 1_000
        * (1 + kind.shape().secondStepShare());
  }
}
