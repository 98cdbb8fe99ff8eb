package dev.bambootray.core.routing;

import static java.util.Objects.requireNonNull;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.RouterEvent.DeclarationChanged;
import dev.bambootray.core.routing.RouterEvent.IntentRecorded;
import dev.bambootray.core.routing.RouterEvent.IntentRejected;
import dev.bambootray.core.routing.RouterEvent.ProbeAnswered;
import dev.bambootray.core.routing.RouterEvent.ProbeMissed;
import dev.bambootray.core.routing.RouterEvent.RequestQueued;
import dev.bambootray.core.routing.RouterEvent.RequestsCancelled;
import dev.bambootray.core.routing.RouterEvent.RunAdopted;
import dev.bambootray.core.routing.RouterEvent.RunAnswered;
import dev.bambootray.core.routing.RouterEvent.RunFailed;
import dev.bambootray.core.routing.RouterEvent.RunNoReply;
import dev.bambootray.core.routing.RouterEvent.RunNotSent;
import dev.bambootray.core.routing.RouterEvent.RunRefused;
import dev.bambootray.core.routing.RouterEvent.RunStatusReceived;
import dev.bambootray.core.routing.RouterEvent.RunStatusUnavailable;
import dev.bambootray.core.routing.RouterEvent.TargetJoined;
import dev.bambootray.core.routing.RouterEvent.TargetLeaving;
import dev.bambootray.core.routing.RouterEvent.TargetLost;
import dev.bambootray.core.routing.RouterEvent.Tick;
import dev.bambootray.core.scheduling.Explanation;
import dev.bambootray.core.worker.TaskId;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Routes the service requests of one region to its targets. It manages the queues and the slots of
 * the region under one epoch of ownership; a new owner creates a new router.
 *
 * <p>The router is a state machine without threads: it takes events and the current time, and
 * returns effects. Timers fire on every event; send {@link Tick} at least every 50 ms.
 */
public final class TargetRouter {
  private static final long DAY_MS = 86_400_000;

  private final RouterState state;
  private final AdmissionPolicy admission = new DeadlineAdmissionPolicy();
  private final RequestLifecycle lifecycle;
  private final TargetHealth health;
  private final RunOutcomeHandler outcomes;
  private final RunStatusChecker statusChecker;
  private final Dispatcher dispatcher;
  private final TargetRegistry registry;
  private boolean declared;

  private TargetRouter(RouterState state) {
    this.state = state;
    health = new TargetHealth(state, new OutlierEjectionPolicy(), new SlownessConcurrencyPolicy());
    lifecycle = new RequestLifecycle(state, health);
    outcomes = new RunOutcomeHandler(state, lifecycle, health);
    statusChecker = new RunStatusChecker(state, lifecycle, outcomes, health);
    dispatcher =
        new Dispatcher(
            state, lifecycle, new LeastLoadedTargetSelector(), new SpareSlotHedgePolicy());
    registry = new TargetRegistry(state, lifecycle, outcomes, statusChecker);
  }

  /** Returns a builder of a router. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Handles an event and returns the resulting effects in order. Events that name an unknown
   * request, run or worker have no effect.
   *
   * @param event what happened
   * @param nowMs the time in milliseconds since the epoch; never less than before
   */
  public List<RouterEffect> handle(RouterEvent event, long nowMs) {
    if (!declared) {
      declared = true;
      registry.declare(state.declaration, nowMs);
    }
    fireTimers(nowMs);
    apply(event, nowMs);
    fireTimers(nowMs);
    for (ServicePool pool : state.pools.values()) {
      dispatcher.dispatch(pool, nowMs);
    }
    return state.takeEffects();
  }

  /** Returns the load of the targets of all services, for the region's load report. */
  public RouterLoad loadOf(long nowMs) {
    int free = 0;
    int total = 0;
    int queued = 0;
    long waitMs = 0;
    for (ServicePool pool : state.pools.values()) {
      free += pool.freeSlots();
      total += pool.totalSlots();
      queued += pool.queue.size();
      waitMs = Math.max(waitMs, Math.min(DAY_MS, pool.expectedWaitMs(pool.queue.size())));
    }
    return new RouterLoad(free, total, queued, waitMs);
  }

  /** Explains what a request waits for or where it runs. */
  public Explanation explain(RequestKey key, long nowMs) {
    PendingRequest request = state.requests.get(key);
    return request == null
        ? new Explanation(
            key, "unknown", 0, "no such request waits or runs here", List.of(), List.of(), -1)
        : RequestExplanation.explain(state, request, nowMs);
  }

  private void apply(RouterEvent event, long nowMs) {
    if (event instanceof RequestQueued queued) {
      queued(queued.request(), nowMs);
    } else if (event instanceof RunAnswered answered) {
      Run run = state.runs.get(answered.task());
      if (run != null) {
        outcomes.answered(run, answered.resultJson(), nowMs - run.sentAtMs, nowMs);
      }
    } else if (event instanceof IntentRecorded recorded) {
      withRun(recorded.task(), run -> dispatcher.intentRecorded(run, nowMs));
    } else if (event instanceof IntentRejected rejected) {
      withRun(rejected.task(), run -> dispatcher.intentRejected(run, nowMs));
    } else if (event instanceof RunFailed failed) {
      withRun(failed.task(), run -> outcomes.failed(run, failed.message(), nowMs));
    } else if (event instanceof RunRefused refused) {
      withRun(refused.task(), run -> outcomes.refused(run, refused.reason(), nowMs));
    } else if (event instanceof RunNotSent notSent) {
      withRun(notSent.task(), run -> outcomes.notSent(run, notSent.reason(), nowMs));
    } else if (event instanceof RunNoReply noReply) {
      withRun(noReply.task(), run -> outcomes.noReply(run, nowMs));
    } else if (event instanceof RunStatusReceived known) {
      statusChecker.statusReceived(known.snapshot(), nowMs);
    } else if (event instanceof RunStatusUnavailable unavailable) {
      statusChecker.statusUnavailable(unavailable.task(), nowMs);
    } else if (event instanceof RequestsCancelled cancelled) {
      cancelled(cancelled.keys(), nowMs);
    } else {
      applyToTargets(event, nowMs);
    }
  }

  private void applyToTargets(RouterEvent event, long nowMs) {
    if (event instanceof TargetJoined joined) {
      registry.joined(joined.worker());
    } else if (event instanceof TargetLeaving leaving) {
      registry.leaving(leaving.worker());
    } else if (event instanceof TargetLost lost) {
      registry.lost(lost.worker(), nowMs);
    } else if (event instanceof RunAdopted adopted) {
      registry.adopted(adopted.worker(), adopted.snapshot(), adopted.request(), nowMs);
    } else if (event instanceof ProbeAnswered answered) {
      withTargets(
          answered.worker(),
          target -> {
            health.probeAnswered(target, nowMs);
            statusChecker.queryNext(target, nowMs);
          });
    } else if (event instanceof ProbeMissed missed) {
      withTargets(
          missed.worker(),
          target -> {
            health.probeMissed(target, nowMs);
            statusChecker.queryNext(target, nowMs);
          });
    } else if (event instanceof DeclarationChanged changed) {
      registry.declare(changed.declaration(), nowMs);
    }
  }

  private void queued(QueuedRequest queued, long nowMs) {
    RequestKey key = queued.spec().key();
    if (state.requests.containsKey(key)) {
      return;
    }
    ServicePool pool = state.pools.get(queued.template().service());
    if (pool == null) {
      state.emit(
          new RouterEffect.RefuseRequest(
              key,
              RequestError.impossible(RequestStep.QUEUE, "local", "the service is not declared")));
      return;
    }
    PendingRequest request = new PendingRequest(queued, pool, pool.runTimesOf(queued.template()));
    RequestError refusal = admission.check(state, request, nowMs);
    if (refusal != null) {
      state.emit(new RouterEffect.RefuseRequest(key, refusal));
      return;
    }
    state.requests.put(key, request);
    lifecycle.enqueue(request, false);
  }

  private void cancelled(List<RequestKey> keys, long nowMs) {
    for (RequestKey key : keys) {
      PendingRequest request = state.requests.get(key);
      if (request != null) {
        lifecycle.cancel(request, nowMs);
      }
    }
  }

  private void fireTimers(long nowMs) {
    for (TimerEntry due = state.timers.pollDue(nowMs);
        due != null;
        due = state.timers.pollDue(nowMs)) {
      if (due instanceof Run run) {
        runDue(run, nowMs);
      } else if (due instanceof PendingRequest request) {
        requestDue(request, nowMs);
      } else if (due instanceof Target target) {
        health.due(target, nowMs);
      } else if (due instanceof ServicePool pool) {
        registry.reviewQueue(pool, nowMs);
      }
    }
  }

  private void runDue(Run run, long nowMs) {
    if (run.hedgeAtMs <= nowMs) {
      dispatcher.hedge(run, nowMs);
    }
    if (run.statusCheckAtMs <= nowMs) {
      statusChecker.checkDue(run, nowMs);
    } else {
      state.scheduleRun(run);
    }
  }

  private void requestDue(PendingRequest request, long nowMs) {
    if (request.spec().deadlineAtMs() <= nowMs) {
      lifecycle.expire(request, nowMs);
    } else if (request.state == PendingRequest.State.BACKOFF) {
      lifecycle.enqueue(request, true);
    }
  }

  private void withRun(TaskId task, Consumer<Run> action) {
    Run run = state.runs.get(task);
    if (run != null) {
      action.accept(run);
    }
  }

  private void withTargets(WorkerId worker, Consumer<Target> action) {
    state.targets.getOrDefault(worker, List.of()).forEach(action);
  }

  /** Builds a {@link TargetRouter}; every value must be given. */
  public static final class Builder {
    private @Nullable RegionId region;
    private @Nullable Declaration declaration;
    private @Nullable NodeId owner;
    private long epoch;
    private @Nullable UniformRandomProvider random;

    private Builder() {}

    /** Sets the region whose targets are used. */
    public Builder region(RegionId value) {
      region = value;
      return this;
    }

    /** Sets the declaration in force. */
    public Builder declaration(Declaration value) {
      declaration = value;
      return this;
    }

    /** Sets the node that owns the region; it is part of attempt tokens. */
    public Builder owner(NodeId value) {
      owner = value;
      return this;
    }

    /** Sets the epoch of the ownership; it makes attempt tokens unique over changes of owner. */
    public Builder epoch(long value) {
      epoch = value;
      return this;
    }

    /** Sets the source of random numbers for choices, backoff and retry times. */
    public Builder random(UniformRandomProvider value) {
      random = value;
      return this;
    }

    /** Returns the router. */
    public TargetRouter build() {
      String prefix =
          shorten(requireNonNull(region, "region").value())
              + ":"
              + epoch
              + ":"
              + shorten(requireNonNull(owner, "owner").value())
              + ":";
      return new TargetRouter(
          new RouterState(
              requireNonNull(declaration, "declaration"),
              requireNonNull(random, "random"),
              prefix));
    }

    /**
     * Shortens a name so that tokens stay within the length of identifiers; region and epoch alone
     * make them unique.
     */
    private static String shorten(String name) {
      return name.length() <= 32 ? name : name.substring(0, 32);
    }
  }
}
