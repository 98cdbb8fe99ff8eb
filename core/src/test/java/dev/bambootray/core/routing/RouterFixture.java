package dev.bambootray.core.routing;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/** Drives a router with a few targets and a manual clock, and records its effects. */
final class RouterFixture {
  static final ServiceId SERVICE = ServiceId.of("plans");
  static final TemplateDeclaration TEMPLATE =
      new TemplateDeclaration(
          TemplateId.of("plan"),
          SERVICE,
          new Shape(1, 0, 1_000, 1_024, Adjacency.REGION),
          List.of(),
          true,
          100,
          60_000,
          3,
          false);

  final TargetRouter router;
  final List<RouterEffect> effects = new ArrayList<>();
  long nowMs = 1_000_000;
  private int nextKey;

  RouterFixture(int workers, int slots) {
    this(workers, slots, PolicyDeclaration.defaults());
  }

  RouterFixture(int workers, int slots, PolicyDeclaration policy) {
    router =
        TargetRouter.builder()
            .region(RegionId.of("north"))
            .declaration(declaration(workers, slots, policy))
            .owner(NodeId.of("node-1"))
            .epoch(7)
            .random(RandomSource.SPLIT_MIX_64.create(42L))
            .build();
    for (int i = 0; i < workers; i++) {
      send(new RouterEvent.TargetJoined(worker(i)));
    }
  }

  /** Returns a router that never hedges. */
  static RouterFixture withoutHedges(int workers, int slots) {
    PolicyDeclaration policy = PolicyDeclaration.defaults();
    return new RouterFixture(
        workers,
        slots,
        new PolicyDeclaration(
            policy.completionTimeWeight(),
            policy.fragmentationWeight(),
            policy.shareHalfLifeMs(),
            policy.ageingMs(),
            policy.ejectionMaxShare(),
            policy.retryBudgetShare(),
            1,
            policy.spillHysteresisMs()));
  }

  static Declaration declaration(int workers, int slots, PolicyDeclaration policy) {
    Map<WorkerId, WorkerDeclaration> declared = new HashMap<>();
    for (int i = 0; i < workers; i++) {
      declared.put(
          worker(i),
          new WorkerDeclaration(
              worker(i),
              RegionId.of("north"),
              FailureDomainId.of("north-1"),
              RackId.of("rack-1"),
              i,
              "127.0.0.1",
              1_000 + i,
              new Resources(8, 32_000, 65_536),
              List.of(SERVICE)));
    }
    return new Declaration(
        1,
        Map.of(),
        Map.of(SERVICE, new ServiceDeclaration(SERVICE, slots, 64)),
        declared,
        Map.of(
            WorkspaceId.of("big"), workspace("big", 3, 1_000),
            WorkspaceId.of("small"), workspace("small", 1, 1_000),
            WorkspaceId.of("tiny"), workspace("tiny", 1, 2)),
        Map.of(TEMPLATE.id(), TEMPLATE),
        policy);
  }

  private static WorkspaceDeclaration workspace(String id, double weight, int maxQueued) {
    return new WorkspaceDeclaration(WorkspaceId.of(id), weight, List.of(), maxQueued, 0, List.of());
  }

  static WorkerId worker(int index) {
    return WorkerId.of("w" + index);
  }

  /** Sends an event to the router at the current time and returns the resulting effects. */
  List<RouterEffect> send(RouterEvent event) {
    List<RouterEffect> resulting = router.handle(event, nowMs);
    effects.addAll(resulting);
    return resulting;
  }

  /** Advances the clock in steps of 10 ms and returns the effects of that time. */
  List<RouterEffect> advance(long durationMs) {
    int before = effects.size();
    for (long endMs = nowMs + durationMs; nowMs < endMs; ) {
      nowMs += 10;
      send(new RouterEvent.Tick());
    }
    return List.copyOf(effects.subList(before, effects.size()));
  }

  QueuedRequest request(String workspace, boolean repeatable, long deadlineMs) {
    RequestKey key = RequestKey.of(workspace, "k" + nextKey++);
    return new QueuedRequest(
        new RequestSpec(key, TEMPLATE.id(), "{}", nowMs + deadlineMs, repeatable, false, nowMs, ""),
        TEMPLATE);
  }

  /** Queues a repeatable request of the workspace "big" with a deadline of 30 s. */
  RequestKey queue() {
    return queue("big", true, 30_000);
  }

  RequestKey queue(String workspace, boolean repeatable, long deadlineMs) {
    QueuedRequest request = request(workspace, repeatable, deadlineMs);
    send(new RouterEvent.RequestQueued(request));
    return request.spec().key();
  }

  /** Returns the runs that were sent for a request, oldest first. */
  List<RouterEffect.RunOnTarget> runsOf(RequestKey key) {
    return all(RouterEffect.RunOnTarget.class).stream()
        .filter(run -> run.key().equals(key))
        .toList();
  }

  RouterEffect.RunOnTarget runOf(RequestKey key) {
    List<RouterEffect.RunOnTarget> runs = runsOf(key);
    return runs.get(runs.size() - 1);
  }

  RequestError refusalOf(RequestKey key) {
    List<RequestError> errors =
        all(RouterEffect.RefuseRequest.class).stream()
            .filter(refusal -> refusal.key().equals(key))
            .map(RouterEffect.RefuseRequest::error)
            .toList();
    return errors.isEmpty() ? null : errors.get(0);
  }

  /** Returns how many final answers a request got. */
  long answersOf(RequestKey key) {
    return effects.stream()
        .filter(
            effect ->
                (effect instanceof RouterEffect.CompleteRequest done && done.key().equals(key))
                    || (effect instanceof RouterEffect.RefuseRequest refused
                        && refused.key().equals(key)))
        .count();
  }

  <T extends RouterEffect> List<T> all(Class<T> type) {
    return of(effects, type);
  }

  static <T extends RouterEffect> List<T> of(List<RouterEffect> effects, Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  void answer(RequestKey key) {
    send(new RouterEvent.RunAnswered(runOf(key).task(), "1"));
  }

  void fail(RequestKey key) {
    send(new RouterEvent.RunFailed(runOf(key).task(), "broken"));
  }

  /**
   * Serves requests one after the other, which fills the retry budget and the statistics of run
   * times.
   */
  void serve(int requests, long runMs) {
    for (int i = 0; i < requests; i++) {
      RequestKey key = queue();
      advance(runMs);
      answer(key);
    }
  }

  static TaskSnapshot snapshot(TaskId task, RequestKey key, TaskPhase phase, String detail) {
    return new TaskSnapshot(
        task, key, TEMPLATE.id(), 1, 0, new Resources(0, 0, 0), phase, detail, 10);
  }

  /** Reports the status of a run. */
  void reportStatus(RouterEffect.RunOnTarget run, TaskPhase phase) {
    send(new RouterEvent.RunStatusReceived(snapshot(run.task(), run.key(), phase, "2")));
  }

  static List<RequestKey> keys(RequestKey... keys) {
    return Arrays.asList(keys);
  }
}
