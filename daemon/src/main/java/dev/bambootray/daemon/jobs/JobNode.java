package dev.bambootray.daemon.jobs;

import dev.bambootray.daemon.ControlLoop;
import dev.bambootray.jobs.lead.LeaseEffect;
import dev.bambootray.jobs.lead.LeaseEvent;
import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.jobs.lead.PoolLease;
import dev.bambootray.jobs.lead.PoolLeaseTimes;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.scheduling.EventTime;
import dev.bambootray.jobs.scheduling.JobEffect;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.scheduling.JobScheduler;
import dev.bambootray.jobs.scheduling.SchedulerTimes;
import dev.bambootray.ports.JobHintSender;
import dev.bambootray.ports.JobHintSender.Hint;
import dev.bambootray.ports.JobWorkerGateway;
import dev.bambootray.ports.PlatformDocumentReader;
import dev.bambootray.ports.RowStore;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Serves callers and, while this node owns the pool, schedules its jobs. All control state belongs
 * to the control thread; ports complete on traffic threads, which post their results to it.
 */
public final class JobNode implements AutoCloseable {
  /** Interval at which the control thread checks its timers. */
  private static final long TICK_MS = 50;

  private static final long CLAIM_SPREAD_MS = 60;

  /** Time within which a healthy change feed delivers a job, also between regions. */
  private static final long HINT_GRACE_MS = 100;

  private static final JobEvent.DeclarationConfirmed UNCONFIRMED =
      new JobEvent.DeclarationConfirmed(JobEvent.DeclarationConfirmed.NEVER);

  private final String name;
  private final SchedulerTimes times;
  private final ScheduledExecutorService executor;
  private final DecisionLog log;
  private final JobMetrics metrics;
  private final LoadReporter loadReporter;
  private final FormatReporter formatReporter;
  private final WorkerCalls workerCalls;
  private final StoreCalls storeCalls;
  private final DeclarationFollower declarations;
  private final OwnerRowStore ownerRows;
  private final PoolLoader loader;
  private final PoolLease lease;
  private final StoreFormats formats;
  private final PoolPreference preference;
  private final JobApi api;
  private final ControlLoop<Runnable> loop;
  private final ScheduledFuture<?> ticks;
  private final CompletableFuture<Boolean> released = new CompletableFuture<>();
  private @Nullable JobScheduler scheduler;

  /** Newest confirmation of the declaration, which a new scheduler gets before all other events. */
  private JobEvent.DeclarationConfirmed confirmation = UNCONFIRMED;

  private long epoch;
  private boolean releasing;

  private JobNode(Builder builder) {
    name = builder.name;
    times = builder.times;
    executor = builder.parts.executor();
    log = builder.parts.log();
    metrics = builder.parts.metrics();
    JobRowCodec codec = new JobRowCodec();
    loop = ControlLoop.create(Runnable::run, metrics::recordControlEvent, "job-control");
    formats = builder.parts.formats();
    loadReporter = new LoadReporter(name, log, metrics);
    formatReporter = new FormatReporter(name, log, metrics, formats);
    workerCalls = new WorkerCalls(builder.parts.workers(), log, metrics, this::postReply);
    preference = new PoolPreference(formats, name, log);
    ownerRows = new OwnerRowStore(builder.parts.store(), codec, log, formats);
    storeCalls =
        new StoreCalls(ownerRows, formats, metrics, loop::post, this::onLease, this::postReply);
    declarations =
        new DeclarationFollower(
            builder.parts.store(),
            executor,
            builder.parts.documents(),
            log,
            new DeclarationListener());
    loader =
        new PoolLoader(
            builder.parts.store(), executor, builder.parts.documents(), codec, log, formats);
    OwnerHintSender hints =
        new OwnerHintSender(ownerRows, builder.process, builder.parts.hints(), this::onHint);
    api =
        new JobApi(
            builder.parts.store(),
            executor,
            codec,
            declarations,
            ownerRows,
            log,
            metrics,
            hints,
            formats);
    // Staggered by node name, so that usually only one node claims the pool at a time.
    long claimDelayMs =
        builder.claimDelayMs + Math.floorMod(builder.name.hashCode(), 4) * CLAIM_SPREAD_MS;
    lease =
        PoolLease.create(
            builder.process, PoolLeaseTimes.defaults(claimDelayMs, times.ownerWithoutStoreMs()));
    loop.start();
    declarations.start();
    ticks =
        executor.scheduleAtFixedRate(
            () -> loop.post(this::tick), 0, TICK_MS, TimeUnit.MILLISECONDS);
  }

  /** Returns a builder of a node with the given parts. */
  public static Builder builder(Dependencies parts) {
    return new Builder(parts);
  }

  /** Returns the operations that callers use. */
  public JobApi api() {
    return api;
  }

  /** Looks a job up in the store unless the change feed delivers it within a grace period. */
  public void onHint(Hint hint) {
    var unused =
        executor.schedule(
            () -> loop.post(() -> lookUpIfMissing(hint)), HINT_GRACE_MS, TimeUnit.MILLISECONDS);
  }

  private void lookUpIfMissing(Hint hint) {
    JobScheduler current = scheduler;
    if (current != null && current.isMissingUpdate(hint.job(), hint.cancelled())) {
      metrics.missedByFeed();
      loader.lookUp(hint.job());
    }
  }

  /**
   * Returns whether the node can serve callers: it has a declaration, reaches the store and can
   * read the format in use.
   */
  public boolean isReady() {
    return declarations.newest().isPresent()
        && declarations.isReachable()
        && formats.isReady()
        && !formats.leavesPoolToNewer()
        && ownerRows.isReachable();
  }

  /** Releases the pool if this node owns it, and stops claiming it. */
  public CompletableFuture<Boolean> release() {
    loop.post(
        () -> {
          releasing = true;
          onLease(new LeaseEvent.Release());
          completeRelease();
        });
    return released;
  }

  @Override
  public void close() {
    ticks.cancel(false);
    declarations.stop();
    loader.stop();
    loop.close();
  }

  private void tick() {
    var unused = declarations.inForce(now());
    JobScheduler current = scheduler;
    if (current != null) {
      JobScheduler.Load load = current.load();
      int heldPercent = AdmissionLimit.OF_HEAP.heldPercent(load.heldBytes());
      onLease(new LeaseEvent.LoadChanged(current.pendingByTemplate(), heldPercent));
      formatReporter.report();
      loadReporter.report(load, epoch, now().ms());
    }
    preference.changed().ifPresent(this::onLease);
    onLease(new LeaseEvent.Tick());
    onScheduler(new JobEvent.Tick());
    completeRelease();
  }

  private void completeRelease() {
    if (releasing && lease.isReleased()) {
      released.complete(true);
    }
  }

  /** Passes what is found out about the declaration to the control thread. */
  private final class DeclarationListener implements DeclarationFollower.Listener {
    @Override
    public void onDeclaration(JobDeclaration declaration) {
      loop.post(() -> onScheduler(new JobEvent.DeclarationChanged(declaration)));
    }

    @Override
    public void onConfirmed(long asOfMs, int pauseCount) {
      loop.post(
          () -> {
            if (pauseCount == declarations.pauseCount()) {
              confirmation = new JobEvent.DeclarationConfirmed(asOfMs);
              onScheduler(confirmation);
            }
          });
    }
  }

  private void onLease(LeaseEvent event) {
    for (LeaseEffect effect : lease.handle(event, now().ms())) {
      carryOut(effect);
    }
    OwnerRecord owner = lease.owner();
    if (owner != null) {
      ownerRows.setNewest(owner);
    }
  }

  private void carryOut(LeaseEffect effect) {
    if (effect instanceof LeaseEffect.ReadOwner) {
      storeCalls.readOwner();
    } else if (effect instanceof LeaseEffect.Commit commit) {
      storeCalls.commit(commit, lease.commitTimeoutMs());
    } else if (effect instanceof LeaseEffect.Won won) {
      onWon(won.epoch());
    } else if (effect instanceof LeaseEffect.Lost lost) {
      log.line("owner:", name, "lost epoch=" + epoch + " reason=" + lost.reason());
      stopScheduling();
    } else if (effect instanceof LeaseEffect.BatchDurable durable) {
      onScheduler(new JobEvent.Durable(durable.batch()));
    }
  }

  private void onWon(long wonEpoch) {
    epoch = wonEpoch;
    metrics.owner(true);
    log.line("owner:", name, "won epoch=" + epoch);
    loader.start(event -> loop.post(() -> onLoaded(wonEpoch, event)), declarations::newest);
  }

  private void onLoaded(long loadedEpoch, JobEvent event) {
    if (loadedEpoch != epoch || !lease.isOwner()) {
      return;
    }
    if (event instanceof JobEvent.TookOver) {
      scheduler = JobScheduler.create(times);
      onScheduler(confirmation);
    }
    onScheduler(event);
  }

  private void stopScheduling() {
    loader.stop();
    scheduler = null;
    metrics.owner(false);
  }

  private void onScheduler(JobEvent event) {
    JobScheduler current = scheduler;
    if (current == null) {
      return;
    }
    EventTime now = now();
    try {
      if (!confirmation.equals(UNCONFIRMED) && declarations.isPossiblyStale(now)) {
        confirmation = UNCONFIRMED;
        carryOut(current, current.handle(confirmation, now));
      }
      carryOut(current, current.handle(event, now));
    } catch (RuntimeException e) {
      // A failed event may leave inconsistent state; the next owner reads it from the store again.
      log.failure("sched:", name, "event " + event.getClass().getSimpleName() + " failed", e);
      abandon("the scheduler failed");
    }
  }

  private void carryOut(JobScheduler from, List<JobEffect> effects) {
    for (JobEffect effect : effects) {
      if (scheduler != from) {
        return; // Ownership of the pool was lost while the effects were carried out.
      }
      carryOut(effect);
    }
  }

  private void carryOut(JobEffect effect) {
    if (effect instanceof JobEffect.Persist persist) {
      onLease(new LeaseEvent.Persist(persist));
    } else if (effect instanceof JobEffect.RemoveJobRows removal) {
      storeCalls.removeJobRows(removal.job(), epoch);
    } else if (effect instanceof JobEffect.RemoveCancelMark removal) {
      storeCalls.removeCancelMark(removal.job(), epoch);
    } else if (effect instanceof JobEffect.StartRun start) {
      workerCalls.start(start, epoch);
    } else if (effect instanceof JobEffect.StopRun stop) {
      workerCalls.stop(stop, epoch);
    } else if (effect instanceof JobEffect.HoldWorker hold) {
      workerCalls.hold(hold, epoch, now().ms());
    } else if (effect instanceof JobEffect.StepDown stepDown) {
      abandon(stepDown.reason());
    } else if (effect instanceof JobEffect.Decided decided) {
      log.line("sched:", decided.subject(), "epoch=" + epoch + " " + decided.text());
    }
  }

  private void abandon(String reason) {
    stopScheduling();
    onLease(new LeaseEvent.Abandon(reason));
  }

  private void postReply(long sentEpoch, JobEvent event) {
    loop.post(
        () -> {
          if (sentEpoch == epoch) {
            onScheduler(event);
          }
        });
  }

  static EventTime now() {
    return new EventTime(System.nanoTime() / 1_000_000, System.currentTimeMillis());
  }

  /** Builds and starts a {@link JobNode}. */
  public static final class Builder {
    private final Dependencies parts;
    private String name = "node";
    private String process = "process";
    private long claimDelayMs;
    private SchedulerTimes times = SchedulerTimes.withLeaseLimit(Long.MAX_VALUE);

    private Builder(Dependencies parts) {
      this.parts = parts;
    }

    /** Sets the name of the node, for the log. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Sets the name of the process, which must be unique to each start. */
    public Builder process(String value) {
      process = value;
      return this;
    }

    /** Sets the extra time that the node waits before it claims the pool. */
    public Builder claimDelayMs(long value) {
      claimDelayMs = value;
      return this;
    }

    /** Sets the times of the scheduler. */
    public Builder times(SchedulerTimes value) {
      times = value;
      return this;
    }

    /** Starts the node. */
    public JobNode start() {
      return new JobNode(this);
    }
  }

  /**
   * Collaborators of a node.
   *
   * @param store the platform's store
   * @param workers sends commands to the workers
   * @param documents decodes the rows that operators and workers write
   * @param executor event loop for table followers and timers
   * @param log the decision log
   * @param metrics the metrics of the node
   * @param hints sends hints about jobs to other nodes
   * @param formats format of stored rows
   */
  public record Dependencies(
      RowStore store,
      JobWorkerGateway workers,
      PlatformDocumentReader documents,
      ScheduledExecutorService executor,
      DecisionLog log,
      JobMetrics metrics,
      JobHintSender hints,
      StoreFormats formats) {}
}
