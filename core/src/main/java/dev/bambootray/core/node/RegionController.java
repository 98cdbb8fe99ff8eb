package dev.bambootray.core.node;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.QueuedRequest;
import dev.bambootray.core.routing.RegionLoad;
import dev.bambootray.core.routing.RouterEvent;
import dev.bambootray.core.routing.RouterLoad;
import dev.bambootray.core.routing.TargetRouter;
import dev.bambootray.core.scheduling.Explanation;
import dev.bambootray.core.scheduling.GangLoad;
import dev.bambootray.core.scheduling.QueuedJob;
import dev.bambootray.core.scheduling.RegionScheduler;
import dev.bambootray.core.scheduling.SchedulerEvent;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerEvent;
import dev.bambootray.core.worker.WorkerReply;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Controls one region on behalf of its owner: queues the region's requests, places and runs them on
 * its workers and answers them.
 */
final class RegionController implements WorkerSessions.Listener {
  private final NodeContext context;
  private final Ownership ownership;
  private final LongConsumer onFenced;
  private final RegionScheduler scheduler;
  private final TargetRouter router;
  private final WorkerSessions workerSessions;
  private final Takeover takeover;
  private final AnswerWriter answers;
  private final SchedulerEffectRunner schedulerEffects;
  private final RouterEffectRunner routerEffects;
  private final RetryingCommandSender commands;
  private final AnswerCache recentAnswers = new AnswerCache();
  private final Map<RequestKey, ServedRequest> served = new HashMap<>();
  private final Map<RequestKey, Set<NodeId>> awaitingEntries = new HashMap<>();

  RegionController(NodeContext context, Ownership ownership, LongConsumer onFenced) {
    this.context = context;
    this.ownership = ownership;
    this.onFenced = onFenced;
    Declaration declaration = context.declaration().get();
    scheduler =
        RegionScheduler.builder()
            .region(ownership.region())
            .declaration(declaration)
            .owner(ownership.owner())
            .epoch(ownership.epoch())
            .random(context.random())
            .build();
    router =
        TargetRouter.builder()
            .region(ownership.region())
            .declaration(declaration)
            .owner(ownership.owner())
            .epoch(ownership.epoch())
            .random(context.random())
            .build();
    workerSessions = new WorkerSessions(context, ownership, this);
    answers = new AnswerWriter(context, this::deliver, this::settled);
    commands = new RetryingCommandSender(context, workerSessions);
    IntentWriter intents = new IntentWriter(context, ownership, this::removeSuperseded);
    schedulerEffects =
        new SchedulerEffectRunner(context, ownership, this, workerSessions, commands, intents);
    routerEffects =
        new RouterEffectRunner(context, ownership, this, workerSessions, commands, intents);
    takeover = new Takeover(context, ownership, workerSessions, this, commands);
  }

  void begin(long nowMs) {
    workerSessions.update(workersOfRegion(), nowMs);
    takeover.begin(nowMs);
  }

  Ownership ownership() {
    return ownership;
  }

  int servedCount() {
    return served.size();
  }

  void submit(PeerMessage.SubmitRequest message, long nowMs) {
    ServedRequest known = served.get(message.spec().key());
    if (known != null) {
      known.entries.add(message.sender());
      known.recordVersion = Math.max(known.recordVersion, message.recordVersion());
      return;
    }
    Answer answer = recentAnswers.find(message.spec().key());
    if (answer != null) {
      send(message.sender(), answer);
    } else if (takeover.isCompleted()) {
      RequestRecord content = RequestRecord.accepted(message.spec(), ownership.region());
      awaitingEntries
          .computeIfAbsent(message.spec().key(), key -> new HashSet<>())
          .add(message.sender());
      serve(content, message.recordVersion(), false, nowMs);
    } else {
      takeover.hold(message);
    }
  }

  /** Adds an entry node to those that receive the answer of an open request. */
  void await(RequestKey key, NodeId entry) {
    ServedRequest known = served.get(key);
    Answer answer = recentAnswers.find(key);
    if (known != null) {
      known.entries.add(entry);
    } else if (answer != null) {
      send(entry, answer);
    } else if (!takeover.isCompleted()) {
      awaitingEntries.computeIfAbsent(key, ignored -> new HashSet<>()).add(entry);
    }
  }

  /** Serves an open record that was found in the table. */
  void serveRecord(RequestRecord content, long version, boolean fromEarlierOwner, long nowMs) {
    if (recentAnswers.find(content.spec().key()) == null) {
      serve(content, version, fromEarlierOwner, nowMs);
    }
  }

  private void serve(RequestRecord content, long version, boolean fromEarlierOwner, long nowMs) {
    RequestKey key = content.spec().key();
    TemplateDeclaration template =
        context.declaration().get().templates().get(content.spec().template());
    ServedRequest request =
        template == null
            ? ServedRequest.undeclared(content, version)
            : new ServedRequest(content, version, template);
    // Only repeatable requests are uncertain: for the others, an intent in the record shows that
    // they
    // were dispatched.
    request.mayHaveRunBefore = fromEarlierOwner && content.spec().repeatable();
    Set<NodeId> entries = awaitingEntries.remove(key);
    if (entries != null) {
      request.entries.addAll(entries);
    }
    served.put(key, request);
    if (template == null) {
      answers.write(request, undeclaredTemplate(content));
    } else if (!takeover.claim(request, nowMs)) {
      queue(request, nowMs);
    }
  }

  void queue(ServedRequest request, long nowMs) {
    if (request.template.isServiceRequest()) {
      route(
          new RouterEvent.RequestQueued(
              new QueuedRequest(request.content.spec(), request.template)),
          nowMs);
    } else {
      schedule(
          new SchedulerEvent.JobSubmitted(
              new QueuedJob(request.content.spec(), request.template, null)),
          nowMs);
    }
  }

  void cancel(List<RequestKey> keys, long nowMs) {
    List<RequestKey> gangs = new ArrayList<>();
    List<RequestKey> requests = new ArrayList<>();
    for (RequestKey key : keys) {
      ServedRequest request = served.get(key);
      if (request != null) {
        (request.template.isServiceRequest() ? requests : gangs).add(key);
      }
    }
    if (!requests.isEmpty()) {
      route(new RouterEvent.RequestsCancelled(requests), nowMs);
    }
    if (!gangs.isEmpty()) {
      schedule(new SchedulerEvent.JobsCancelled(gangs), nowMs);
    }
  }

  Explanation explain(RequestKey key, long nowMs) {
    ServedRequest request = served.get(key);
    if (request == null) {
      return new Explanation(
          key, "unknown", 0, "the owner of the region does not serve it", List.of(), List.of(), -1);
    }
    return request.template.isServiceRequest()
        ? router.explain(key, nowMs)
        : scheduler.explain(key, nowMs);
  }

  void drainWorker(WorkerId worker, boolean drain, long nowMs) {
    workerSessions.drain(worker, drain, nowMs);
  }

  void vmLeaving(WorkerId worker, long nowMs) {
    workerSessions.vmLeaving(worker, nowMs);
  }

  void declarationChanged(long nowMs) {
    Declaration declaration = context.declaration().get();
    schedule(new SchedulerEvent.DeclarationChanged(declaration), nowMs);
    route(new RouterEvent.DeclarationChanged(declaration), nowMs);
    workerSessions.update(workersOfRegion(), nowMs);
  }

  void tick(long nowMs) {
    workerSessions.tick(nowMs);
    commands.tick();
    takeover.tick(nowMs);
    if (takeover.isCompleted()) {
      schedule(new SchedulerEvent.Tick(), nowMs);
      route(new RouterEvent.Tick(), nowMs);
    }
  }

  RegionLoad load(long nowMs) {
    RouterLoad slots = router.loadOf(nowMs);
    GangLoad gangs = scheduler.loadOf(nowMs);
    return new RegionLoad(
        ownership.region(),
        ownership.owner(),
        ownership.epoch(),
        slots.freeSlots(),
        slots.totalSlots(),
        gangs.freeAccelerators(),
        gangs.totalAccelerators(),
        slots.expectedSlotWaitMs(),
        gangs.expectedGangWaitMs(),
        nowMs);
  }

  /** Stops all calls to workers; running tasks continue and the next owner adopts them. */
  void close() {
    workerSessions.close();
  }

  void schedule(SchedulerEvent event, long nowMs) {
    scheduler.handle(event, nowMs).forEach(schedulerEffects::apply);
  }

  void route(RouterEvent event, long nowMs) {
    router.handle(event, nowMs).forEach(routerEffects::apply);
  }

  @Nullable ServedRequest find(RequestKey key) {
    return served.get(key);
  }

  void finish(RequestKey key, Answer answer) {
    ServedRequest request = served.get(key);
    if (request != null) {
      answers.write(request, request.mayHaveRunBefore ? answer.withUnknownExecution() : answer);
    }
  }

  /** Drops a request without an answer because another owner has changed its record. */
  private void removeSuperseded(ServedRequest request) {
    served.remove(request.content.spec().key(), request);
  }

  @Override
  public void adopted(WorkerId worker, WorkerReply.Adopted adopted, long nowMs) {
    takeover.adopted(worker, adopted, nowMs);
    schedule(new SchedulerEvent.WorkerJoined(worker), nowMs);
    route(new RouterEvent.TargetJoined(worker), nowMs);
    takeover.tick(nowMs);
  }

  @Override
  public void events(WorkerId worker, WorkerReply.Events events, long nowMs) {
    for (WorkerEvent event : events.events()) {
      schedulerEffects.taskChanged(event.snapshot());
    }
    if (!events.usage().isEmpty()) {
      schedule(new SchedulerEvent.UsageReported(worker, events.usage()), nowMs);
    }
  }

  @Override
  public void leaving(WorkerId worker, long nowMs) {
    context.outbox().report("owner:", "leaving", worker, "The worker takes no new work.");
    schedule(new SchedulerEvent.WorkerLeaving(worker), nowMs);
    route(new RouterEvent.TargetLeaving(worker), nowMs);
  }

  @Override
  public void resumed(WorkerId worker, long nowMs) {
    schedule(new SchedulerEvent.WorkerJoined(worker), nowMs);
    route(new RouterEvent.TargetJoined(worker), nowMs);
  }

  @Override
  public void lost(WorkerId worker, long nowMs) {
    context.outbox().report("owner:", "lost", worker, "The worker is out of contact.");
    schedule(new SchedulerEvent.WorkerLost(worker), nowMs);
    route(new RouterEvent.TargetLost(worker), nowMs);
  }

  @Override
  public void fenced(long higherEpoch) {
    onFenced.accept(higherEpoch);
  }

  private Answer undeclaredTemplate(RequestRecord content) {
    return Answer.failure(
        content.spec().key(),
        RequestError.impossible(
            RequestStep.PLACEMENT,
            context.self(),
            "the template " + content.spec().template() + " is no longer declared"));
  }

  private void send(NodeId entry, Answer answer) {
    context
        .routes()
        .toNode(entry, new PeerMessage.RequestAnswered(context.identity().node(), answer));
  }

  private void deliver(ServedRequest request, Answer answer) {
    recentAnswers.add(answer);
    request.entries.forEach(entry -> send(entry, answer));
    context
        .outbox()
        .report("owner:", "answered", answer.key(), "Answered, ran: " + answer.ran() + ".");
  }

  private void settled(ServedRequest request, boolean byThisOwner) {
    served.remove(request.content.spec().key(), request);
    Map<WorkerId, List<TaskId>> byWorker =
        request.tasks.entrySet().stream()
            .collect(
                Collectors.groupingBy(
                    Map.Entry::getValue,
                    Collectors.mapping(Map.Entry::getKey, Collectors.toList())));
    byWorker.forEach(
        (worker, ended) -> commands.send(worker, new WorkerCommand.Acknowledge(ownership, ended)));
    if (!byThisOwner) {
      context
          .outbox()
          .report(
              "owner:",
              "superseded",
              request.content.spec().key(),
              "The record already holds another answer.");
    }
  }

  private Map<WorkerId, WorkerDeclaration> workersOfRegion() {
    return context.declaration().get().workers().values().stream()
        .filter(worker -> worker.region().equals(ownership.region()))
        .collect(Collectors.toMap(WorkerDeclaration::id, worker -> worker));
  }
}
