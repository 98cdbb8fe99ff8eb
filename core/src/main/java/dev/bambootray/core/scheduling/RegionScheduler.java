package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Places the gangs of one region on its accelerators.
 *
 * <p>A new scheduler is in adoption: it accepts {@link SchedulerEvent.TaskAdopted} events and
 * queues jobs, but places none before {@link SchedulerEvent.AdoptionCompleted}. It is not
 * thread-safe.
 */
public final class RegionScheduler {
  /** Shortest interval between placements, so that a burst of events is placed as one batch. */
  static final long BATCH_MS = 10;

  private static final String CANCELLED = "cancelled by the caller";
  private static final long EXPIRED_RETRY_MS = 5_000;

  private final RegionId region;
  private final String tokenPrefix;
  private final SchedulingPolicies policies;
  private final SchedulerParts parts;
  private final GuaranteeMonitor guaranteeMonitor;
  private final GangAdoption adoption;
  private final PlacementRound round;
  private final JobExplainer explainer;
  private final Map<RequestKey, Job> jobs = new LinkedHashMap<>();
  private Declaration declaration;
  private JobOrderPolicy order;
  private boolean adopting = true;
  private boolean dirty;
  private long placedAtMs = Long.MIN_VALUE / 2;
  private long sequence;
  private long attempts;

  private RegionScheduler(
      Builder builder,
      RegionId region,
      Declaration declaration,
      NodeId owner,
      UniformRandomProvider random) {
    this.region = region;
    this.declaration = declaration;
    this.policies = builder.policies;
    this.tokenPrefix =
        builder.epoch + ":" + abbreviate(region.value()) + ":" + abbreviate(owner.value()) + ":";
    GangBookkeeping bookkeeping = new GangBookkeeping(jobs);
    this.parts = new SchedulerParts(declaration, region, policies, random, bookkeeping);
    this.guaranteeMonitor = new GuaranteeMonitor(parts.plan, parts.effects);
    bookkeeping.connect(parts, guaranteeMonitor);
    this.adoption = new GangAdoption(parts);
    this.round = new PlacementRound(parts, policies, this::nextToken);
    this.explainer = new JobExplainer(parts);
    this.order = declare();
  }

  private JobOrderPolicy declare() {
    if (policies.guarantees()) {
      parts.plan.declare(declaration, region);
    }
    parts.shares.declare(declaration);
    parts.admission.declare(declaration);
    round.declare(declaration.policy());
    guaranteeMonitor.poolChanged();
    return policies.order(parts.estimates, parts.shares, declaration.policy());
  }

  /** Returns a builder without any value set. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Handles one event.
   *
   * <p>A job is placed at once if no placement ran within the last 10 ms, else with a later event
   * or {@link SchedulerEvent.Tick}. Callers that have several events should use {@link #handleAll}.
   *
   * @param event the event
   * @param nowMs the time in milliseconds since the epoch; must not go back
   * @return what is to be done, in order
   */
  public List<SchedulerEffect> handle(SchedulerEvent event, long nowMs) {
    apply(event, nowMs);
    placeIfDue(event instanceof SchedulerEvent.Tick, nowMs);
    return parts.effects.drain();
  }

  /**
   * Handles events that arrived together and places jobs once after all of them.
   *
   * @param events the events, oldest first
   * @param nowMs the time in milliseconds since the epoch; must not go back
   * @return what is to be done, in order
   */
  public List<SchedulerEffect> handleAll(List<SchedulerEvent> events, long nowMs) {
    events.forEach(event -> apply(event, nowMs));
    placeIfDue(true, nowMs);
    return parts.effects.drain();
  }

  private void placeIfDue(boolean batchComplete, long nowMs) {
    if (adopting || !dirty || (!batchComplete && nowMs - placedAtMs < BATCH_MS)) {
      return;
    }
    dirty = false;
    placedAtMs = nowMs;
    if (round.dropLostClaims(nowMs)) {
      guaranteeMonitor.poolChanged();
    }
    guaranteeMonitor.check(nowMs);
    round.run(order, declaration.policy().ageingMs(), nowMs);
  }

  private void apply(SchedulerEvent event, long nowMs) {
    GangLifecycle lifecycle = parts.lifecycle;
    if (event instanceof SchedulerEvent.JobSubmitted e) {
      submit(e.job(), nowMs);
    } else if (event instanceof SchedulerEvent.JobsCancelled e) {
      e.keys().forEach(key -> cancel(key, nowMs));
    } else if (event instanceof SchedulerEvent.MemberReserved e) {
      lifecycle.memberReserved(e.task(), nowMs);
    } else if (event instanceof SchedulerEvent.AttemptConfirmed e) {
      lifecycle.confirmed(e.attempt(), nowMs);
    } else if (event instanceof SchedulerEvent.MemberStarted e) {
      lifecycle.memberStarted(e.task(), nowMs);
    } else if (event instanceof SchedulerEvent.UsageReported e) {
      parts.usage.report(e.usage(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskAdopted e) {
      adoption.adopt(e, jobs.computeIfAbsent(e.job().spec().key(), k -> newJob(e.job())), nowMs);
      dirty = true;
    } else if (event instanceof SchedulerEvent.AdoptionCompleted) {
      adoption.complete(nowMs);
      adopting = false;
      dirty = true;
    } else {
      dirty = true;
      applyEnd(event, nowMs);
    }
  }

  private void applyEnd(SchedulerEvent event, long nowMs) {
    GangLifecycle lifecycle = parts.lifecycle;
    if (event instanceof SchedulerEvent.TaskFinished e) {
      lifecycle.finished(e.task(), e.resultJson(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskFailed e) {
      lifecycle.failed(e.task(), e.message(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskStopped e) {
      lifecycle.stopped(e.task(), nowMs);
    } else if (event instanceof SchedulerEvent.TaskCheckpointed e) {
      lifecycle.checkpointed(e.task(), e.checkpoint(), nowMs);
    } else if (event instanceof SchedulerEvent.MemberRefused e) {
      lifecycle.refused(e.task(), e.reason(), nowMs);
    } else if (event instanceof SchedulerEvent.AttemptRejected e) {
      lifecycle.rejected(e.attempt(), nowMs);
    } else {
      applyToWorkers(event, nowMs);
    }
  }

  private void applyToWorkers(SchedulerEvent event, long nowMs) {
    if (event instanceof SchedulerEvent.WorkerJoined e) {
      changeWorker(parts.pool.find(e.worker()), true, false);
    } else if (event instanceof SchedulerEvent.WorkerLost e) {
      PoolWorker worker = parts.pool.find(e.worker());
      changeWorker(worker, false, false);
      if (worker != null) {
        parts.lifecycle.workerLost(worker, nowMs);
      }
    } else if (event instanceof SchedulerEvent.WorkerLeaving e) {
      PoolWorker worker = parts.pool.find(e.worker());
      changeWorker(worker, worker != null && worker.joined, true);
    } else if (event instanceof SchedulerEvent.DeclarationChanged e) {
      declarationChanged(e.declaration(), nowMs);
    } else if (event instanceof SchedulerEvent.Tick) {
      tick(nowMs);
    }
  }

  private void tick(long nowMs) {
    parts.lifecycle.tick(nowMs);
    if (parts.failureTracker.tick(nowMs)) {
      guaranteeMonitor.poolChanged();
    }
    parts.queue.expire(nowMs, job -> expire(job, nowMs));
    for (Claim claim : List.copyOf(parts.claims.all())) {
      if (claim.job().request.spec().deadlineAtMs() <= nowMs) {
        expire(claim.job(), nowMs);
      }
    }
  }

  private void expire(Job job, long nowMs) {
    boolean ran = job.attempts > 0 && job.preemptions + job.failures > 0;
    String message = "the deadline passed in the queue";
    RequestError error =
        ran
            ? RequestError.failed(RequestStep.QUEUE, "local", message)
            : RequestError.notRun(RequestStep.QUEUE, "local", message, EXPIRED_RETRY_MS);
    parts.lifecycle.failJob(job, error, nowMs);
  }

  private void declarationChanged(Declaration newDeclaration, long nowMs) {
    declaration = newDeclaration;
    parts.pool.addMissing(newDeclaration, region);
    for (PoolWorker worker : parts.pool.workers) {
      if (!newDeclaration.workers().containsKey(worker.id)) {
        changeWorker(worker, worker.joined, true);
      }
    }
    order = declare();
    for (Job job : List.copyOf(jobs.values())) {
      RequestError error = job.waiting ? parts.admission.impossibility(job) : null;
      if (error != null) {
        parts.lifecycle.failJob(job, error, nowMs);
      }
    }
  }

  private void changeWorker(@Nullable PoolWorker worker, boolean joined, boolean leaving) {
    if (worker == null) {
      return;
    }
    worker.joined = joined;
    worker.leaving = leaving;
    parts.pool.refresh(worker);
    guaranteeMonitor.poolChanged();
  }

  private void submit(QueuedJob request, long nowMs) {
    Job existing = jobs.get(request.spec().key());
    if (existing != null) {
      return;
    }
    Job job = newJob(request);
    RequestError error = parts.admission.refusal(job, parts.queue);
    if (error != null) {
      parts.effects.add(new SchedulerEffect.JobFailed(job.key(), error));
      return;
    }
    jobs.put(job.key(), job);
    parts.queue.add(job, nowMs);
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
      parts.lifecycle.failJob(
          job, RequestError.impossible(RequestStep.QUEUE, "local", CANCELLED), nowMs);
    } else if (gang.step == Gang.Step.DRAINING) {
      gang.afterDrain = Gang.AfterDrain.DROP;
      parts.lifecycle.failJob(job, RequestError.failed(RequestStep.RUN, "local", CANCELLED), nowMs);
    } else {
      parts.lifecycle.end(gang, EndCause.CANCELLED, CANCELLED, nowMs);
    }
  }

  private AttemptToken nextToken() {
    return AttemptToken.of(tokenPrefix + attempts++);
  }

  private static String abbreviate(String text) {
    return text.length() <= 40 ? text : text.substring(0, 40);
  }

  /**
   * Explains the state of a request.
   *
   * @param key the request
   * @param nowMs the time in milliseconds since the epoch
   */
  public Explanation explain(RequestKey key, long nowMs) {
    Job job = jobs.get(key);
    return job == null ? JobExplainer.unknown(key) : explainer.explain(job, order, adopting, nowMs);
  }

  /**
   * Returns the load of the region's accelerators.
   *
   * @param nowMs the time in milliseconds since the epoch
   */
  public GangLoad loadOf(long nowMs) {
    return parts.load(nowMs);
  }

  /** Returns the guarantees that currently cannot be placed. */
  public List<MissingGuarantee> brokenGuarantees() {
    return GuaranteeCheck.missing(parts.plan);
  }

  /** Builds a scheduler. */
  public static final class Builder {
    private @Nullable RegionId region;
    private @Nullable Declaration declaration;
    private @Nullable NodeId owner;
    private long epoch;
    private @Nullable UniformRandomProvider random;

    private SchedulingPolicies policies = SchedulingPolicies.declared();

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

    /** Sets the epoch of the owner; it makes attempt tokens unique across owners. */
    public Builder epoch(long value) {
      epoch = value;
      return this;
    }

    /** Sets the source of random numbers. */
    public Builder random(UniformRandomProvider value) {
      random = value;
      return this;
    }

    /** Sets the policies; the default is {@link SchedulingPolicies#declared}. */
    public Builder policies(SchedulingPolicies value) {
      policies = value;
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
      return new RegionScheduler(this, region, declaration, owner, random);
    }
  }
}
