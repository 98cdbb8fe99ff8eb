package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Step;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Places the gangs of one region on its accelerators.
 *
 * <p>A scheduler starts in adoption: it takes {@link SchedulerEvent.TaskAdopted} events and queues
 * jobs, but places nothing before {@link SchedulerEvent.AdoptionCompleted}. It is not thread-safe.
 */
public final class RegionScheduler {
  /** Placement runs at most this often, so that a burst of events is placed as one batch. */
  private static final long BATCH_MS = 10;

  private final RegionId region;
  private final String tokenPrefix;
  private final Pool pool;
  private final Effects effects = new Effects();
  private final GangLifecycle lifecycle;
  private final Adoption adoption;
  private final Map<RequestKey, Job> jobs = new LinkedHashMap<>();
  private final PlacementPolicy placement = new FirstFitPlacement();
  private boolean adopting = true;
  private boolean dirty;
  private long placedAtMs = Long.MIN_VALUE / 2;
  private long sequence;
  private long attempts;

  private RegionScheduler(Builder builder, RegionId region, Declaration declaration, NodeId owner) {
    this.region = region;
    this.tokenPrefix =
        builder.epoch + ":" + abbreviate(region.value()) + ":" + abbreviate(owner.value()) + ":";
    this.pool = Pool.of(declaration, region);
    this.lifecycle = new GangLifecycle(pool, effects, new Listener());
    this.adoption = new Adoption(pool, lifecycle, effects);
  }

  /** Returns a builder without any value set. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Takes one event.
   *
   * @param event the event
   * @param nowMs the time in milliseconds since the epoch; must not go back
   * @return what is to be done, in order
   */
  public List<SchedulerEffect> handle(SchedulerEvent event, long nowMs) {
    apply(event, nowMs);
    boolean tick = event instanceof SchedulerEvent.Tick;
    if (dirty && !adopting && (tick || nowMs - placedAtMs >= BATCH_MS)) {
      dirty = false;
      placedAtMs = nowMs;
      placeWaiting(nowMs);
    }
    return effects.drain();
  }

  private void apply(SchedulerEvent event, long nowMs) {
    if (event instanceof SchedulerEvent.JobSubmitted e) {
      submit(e.job());
    } else if (event instanceof SchedulerEvent.JobsCancelled e) {
      e.keys().forEach(key -> cancel(key, nowMs));
    } else if (event instanceof SchedulerEvent.MemberReserved e) {
      lifecycle.memberReserved(e.task(), nowMs);
    } else if (event instanceof SchedulerEvent.MemberRefused e) {
      lifecycle.refused(e.task(), e.reason(), nowMs);
    } else if (event instanceof SchedulerEvent.AttemptConfirmed e) {
      lifecycle.confirmed(e.attempt(), nowMs);
    } else if (event instanceof SchedulerEvent.AttemptRejected e) {
      lifecycle.rejected(e.attempt(), nowMs);
    } else if (event instanceof SchedulerEvent.MemberStarted e) {
      lifecycle.memberStarted(e.task(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskFinished e) {
      lifecycle.finished(e.task(), e.resultJson(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskFailed e) {
      lifecycle.failed(e.task(), e.message(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskStopped e) {
      lifecycle.stopped(e.task(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskCheckpointed e) {
      lifecycle.checkpointed(e.task(), e.checkpoint(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskAdopted e) {
      adoption.adopt(e, jobs.computeIfAbsent(e.job().spec().key(), k -> newJob(e.job())), nowMs);
    } else if (event instanceof SchedulerEvent.AdoptionCompleted) {
      adoption.complete(nowMs);
      adopting = false;
      dirty = true;
    } else {
      applyToWorkers(event, nowMs);
    }
  }

  private void applyToWorkers(SchedulerEvent event, long nowMs) {
    if (event instanceof SchedulerEvent.WorkerJoined e) {
      changeWorker(pool.find(e.worker()), true, false);
    } else if (event instanceof SchedulerEvent.WorkerLost e) {
      WorkerSlot worker = pool.find(e.worker());
      changeWorker(worker, false, false);
      if (worker != null) {
        lifecycle.workerLost(worker, nowMs);
      }
    } else if (event instanceof SchedulerEvent.WorkerLeaving e) {
      changeWorker(pool.find(e.worker()), true, true);
    } else if (event instanceof SchedulerEvent.DeclarationChanged e) {
      pool.addMissing(e.declaration(), region);
      dirty = true;
    } else if (event instanceof SchedulerEvent.Tick) {
      lifecycle.tick(nowMs);
      dirty = true;
    }
  }

  private void changeWorker(@Nullable WorkerSlot worker, boolean joined, boolean leaving) {
    if (worker == null) {
      return;
    }
    worker.joined = joined;
    worker.leaving = leaving;
    pool.refresh(worker);
    dirty = true;
  }

  private void submit(QueuedJob request) {
    jobs.computeIfAbsent(request.spec().key(), key -> newJob(request));
    dirty = true;
  }

  private Job newJob(QueuedJob request) {
    return new Job(request, sequence++);
  }

  private void cancel(RequestKey key, long nowMs) {
    Job job = jobs.get(key);
    if (job == null) {
      return;
    }
    dirty = true;
    Gang gang = job.gang;
    if (gang == null) {
      lifecycle.giveUp(
          job, RequestError.impossible(Step.QUEUE, "local", "cancelled by the caller"), nowMs);
    } else if (gang.step == Gang.Step.DRAINING) {
      gang.afterDrain = Gang.AfterDrain.DROP;
      lifecycle.giveUp(
          job, RequestError.failed(Step.RUN, "local", "cancelled by the caller"), nowMs);
    } else {
      lifecycle.end(gang, EndCause.CANCELLED, "cancelled by the caller", nowMs);
    }
  }

  private void placeWaiting(long nowMs) {
    for (Job job : new ArrayList<>(jobs.values())) {
      if (job.gang != null || job.notBeforeMs > nowMs) {
        continue;
      }
      List<Spot> spots =
          placement.place(pool, job.shape, View.FREE, worker -> worker.notBeforeMs <= nowMs);
      if (spots.isEmpty()) {
        return;
      }
      GrantKind kind = job.repeatable() ? GrantKind.BORROWED : GrantKind.PINNED;
      lifecycle.begin(job, nextToken(), spots, kind, null, nowMs);
    }
  }

  private AttemptToken nextToken() {
    return AttemptToken.of(tokenPrefix + attempts++);
  }

  private static String abbreviate(String text) {
    return text.length() <= 40 ? text : text.substring(0, 40);
  }

  /**
   * Returns why a request is where it is.
   *
   * @param key the request
   * @param nowMs the time in milliseconds since the epoch
   */
  public Explanation explain(RequestKey key, long nowMs) {
    Job job = jobs.get(key);
    if (job == null) {
      return new Explanation(key, "unknown", 0, "no such job", List.of(), List.of(), -1);
    }
    Gang gang = job.gang;
    if (gang == null) {
      int position = 1;
      for (Job other : jobs.values()) {
        if (other == job) {
          break;
        }
        position += other.gang == null ? 1 : 0;
      }
      return new Explanation(
          key, "queued", position, "waits for accelerators", List.of(), List.of(), -1);
    }
    String state =
        switch (gang.step) {
          case RUNNING, ADOPTING -> "running";
          case DRAINING -> "reclaimed";
          default -> "reserving";
        };
    return new Explanation(key, state, 0, "", List.of(), List.of(), 0);
  }

  /**
   * Returns the load of the region's accelerators.
   *
   * @param nowMs the time in milliseconds since the epoch
   */
  public GangLoad loadOf(long nowMs) {
    int total = 0;
    for (WorkerSlot worker : pool.workers) {
      total += worker.takesWork() ? worker.accelerators : 0;
    }
    return new GangLoad(pool.free.total(), total, 0);
  }

  /** Follows the gangs. */
  private final class Listener implements GangListener {
    @Override
    public void started(Gang gang, long nowMs) {}

    @Override
    public void stoppedRunning(Gang gang, long nowMs) {}

    @Override
    public void memberSucceeded(Member member, long nowMs) {}

    @Override
    public void memberFailed(Member member, long nowMs) {}

    @Override
    public void memberRefused(Member member, long nowMs) {}

    @Override
    public void answered(Job job, long nowMs) {
      jobs.remove(job.key());
    }

    @Override
    public void drained(Gang gang, long nowMs) {
      dirty = true;
    }
  }

  /** Collects what a scheduler needs. */
  public static final class Builder {
    private @Nullable RegionId region;
    private @Nullable Declaration declaration;
    private @Nullable NodeId owner;
    private long epoch;
    private @Nullable UniformRandomProvider random;

    private Builder() {}

    /** Sets the region. */
    public Builder region(RegionId value) {
      region = value;
      return this;
    }

    /** Sets the declaration in force. */
    public Builder declaration(Declaration value) {
      declaration = value;
      return this;
    }

    /** Sets the node that owns the region. */
    public Builder owner(NodeId value) {
      owner = value;
      return this;
    }

    /** Sets the epoch of the owner; it makes attempt tokens unique over owners. */
    public Builder epoch(long value) {
      epoch = value;
      return this;
    }

    /** Sets the source of random numbers. */
    public Builder random(UniformRandomProvider value) {
      random = value;
      return this;
    }

    /**
     * Returns the scheduler.
     *
     * @throws IllegalStateException if a value is missing
     */
    public RegionScheduler build() {
      if (region == null || declaration == null || owner == null || random == null) {
        throw new IllegalStateException(
            "region, declaration, owner and random must be set before build");
      }
      return new RegionScheduler(this, region, declaration, owner);
    }
  }
}
