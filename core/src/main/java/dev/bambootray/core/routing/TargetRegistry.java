package dev.bambootray.core.routing;

import static dev.bambootray.core.model.RequestStep.RUN;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.TaskSnapshot;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the services and targets of the region, and takes over the runs that adopted workers
 * hold.
 */
final class TargetRegistry {
  private static final long REVIEW_INTERVAL_MS = 1_000;

  /** Share of the requests ahead that counts when an admitted request is reviewed. */
  private static final double REVIEW_WAIT_SHARE = 0.8;

  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final RunOutcomeHandler outcomes;
  private final RunStatusChecker statusChecker;

  TargetRegistry(
      RouterState state,
      RequestLifecycle lifecycle,
      RunOutcomeHandler outcomes,
      RunStatusChecker statusChecker) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.outcomes = outcomes;
    this.statusChecker = statusChecker;
  }

  /** Applies a new declaration. */
  void declare(Declaration declaration, long nowMs) {
    state.declaration = declaration;
    for (ServiceDeclaration service : declaration.services().values()) {
      ServicePool pool = state.pools.get(service.id());
      if (pool == null) {
        pool = new ServicePool(service, nowMs);
        state.pools.put(service.id(), pool);
        state.timers.schedule(pool, nowMs);
      }
      pool.service = service;
      for (Target target : pool.targets) {
        target.setSlots(service.slotsPerTarget());
      }
    }
    for (List<Target> targets : state.targets.values()) {
      for (Target target : targets) {
        if (!isDeclared(target)) {
          target.setLeaving(true);
        }
      }
    }
  }

  /** Opens the targets of a worker that was adopted. */
  void joined(WorkerId worker) {
    for (Target target : targetsOf(worker)) {
      target.pool.noTargetSinceMs = -1;
      target.setJoined(true);
      target.setLeaving(!isDeclared(target));
      target.setUnreachable(false);
    }
  }

  /** Marks the targets of a worker as taking no new requests. */
  void leaving(WorkerId worker) {
    for (Target target : targetsOf(worker)) {
      target.setLeaving(true);
    }
  }

  /** Removes the targets of a worker that was lost. */
  void lost(WorkerId worker, long nowMs) {
    List<Target> targets = state.targets.remove(worker);
    if (targets != null) {
      for (Target target : targets) {
        outcomes.targetLost(target, nowMs);
      }
    }
  }

  /** Takes over a run of an earlier owner that an adopted worker holds. */
  void adopted(WorkerId worker, TaskSnapshot snapshot, QueuedRequest queued, long nowMs) {
    ServiceId service = queued.template().service();
    Target target = targetOf(worker, service);
    if (state.runs.containsKey(snapshot.task())) {
      return;
    }
    if (target == null) {
      state.emit(
          new RouterEffect.RefuseRequest(
              queued.spec().key(),
              RequestError.unknown(RUN, worker.value(), "the service is no longer declared")));
      return;
    }
    PendingRequest request = state.requests.get(queued.spec().key());
    if (request == null) {
      request = new PendingRequest(queued, target.pool, target.pool.runTimesOf(queued.template()));
      state.requests.put(request.key(), request);
    } else if (request.state == PendingRequest.State.QUEUED) {
      request.pool.queue.removeNow(request);
    }
    request.state = PendingRequest.State.RUNNING;
    request.sends++;
    request.firstRunCounted = true;
    state.timers.schedule(request, request.spec().deadlineAtMs());
    Run run = new Run(snapshot.task(), request, target);
    run.phase = Run.Phase.UNKNOWN;
    run.sentAtMs = nowMs - snapshot.ranForMs();
    state.addRun(run);
    statusChecker.applyStatus(run, snapshot, nowMs);
  }

  /**
   * Refuses queued requests that can no longer be served in time, and schedules the next review.
   */
  void reviewQueue(ServicePool pool, long nowMs) {
    boolean open = pool.capacity() > 0;
    if (open) {
      pool.noTargetSinceMs = -1;
    } else if (pool.noTargetSinceMs < 0) {
      pool.noTargetSinceMs = nowMs;
    }
    boolean withoutTarget = DeadlineAdmissionPolicy.lacksTargetTooLong(pool, nowMs);
    if (pool.queue.size() > 0 && (open || withoutTarget)) {
      List<PendingRequest> late = new ArrayList<>();
      pool.queue.forEach(
          (request, ahead) -> {
            if (withoutTarget
                || !DeadlineAdmissionPolicy.canMeetDeadline(
                    pool, request, ahead * REVIEW_WAIT_SHARE, nowMs)) {
              late.add(request);
            }
          });
      String reason =
          withoutTarget
              ? "no target of the service is available"
              : "the expected wait has grown beyond the deadline";
      for (PendingRequest request : late) {
        lifecycle.refuseQueued(request, reason, nowMs);
      }
    }
    state.timers.schedule(pool, nowMs + REVIEW_INTERVAL_MS);
  }

  private boolean isDeclared(Target target) {
    WorkerDeclaration worker = state.declaration.workers().get(target.worker);
    return worker != null && worker.services().contains(target.pool.service.id());
  }

  private List<Target> targetsOf(WorkerId worker) {
    List<Target> known = state.targets.get(worker);
    if (known != null) {
      return known;
    }
    WorkerDeclaration declared = state.declaration.workers().get(worker);
    if (declared == null) {
      return List.of();
    }
    List<Target> created = new ArrayList<>(1);
    for (ServiceId service : declared.services()) {
      ServicePool pool = state.pools.get(service);
      if (pool != null) {
        Target target = new Target(worker, pool, pool.service.slotsPerTarget());
        pool.targets.add(target);
        created.add(target);
      }
    }
    state.targets.put(worker, created);
    return created;
  }

  private @Nullable Target targetOf(WorkerId worker, ServiceId service) {
    for (Target target : targetsOf(worker)) {
      if (target.pool.service.id().equals(service)) {
        return target;
      }
    }
    ServicePool pool = state.pools.get(service);
    if (pool == null) {
      return null;
    }
    // The worker is no longer declared; it only finishes its remaining runs.
    Target undeclared = new Target(worker, pool, pool.service.slotsPerTarget());
    undeclared.setLeaving(true);
    pool.targets.add(undeclared);
    state.targets.computeIfAbsent(worker, id -> new ArrayList<>(1)).add(undeclared);
    return undeclared;
  }
}
