package dev.bambootray.core.node;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.QueuedRequest;
import dev.bambootray.core.routing.RouterEvent;
import dev.bambootray.core.scheduling.QueuedJob;
import dev.bambootray.core.scheduling.SchedulerEvent;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Rebuilds the state of a region on its new owner from the open records in the table and from the
 * tasks that its workers hold.
 */
final class Takeover {
  private static final int PAGE_ROWS = 500;
  private static final long MAX_ADOPTION_MS = 2_000;
  private static final long SCAN_RETRY_MS = 500;

  /** How long a task without a matching request may run before it is stopped. */
  private static final long UNCLAIMED_LIMIT_MS = 5_000;

  /** Interval of scans for requests whose message from the entry node was lost. */
  private static final long RESCAN_MS = 60_000;

  private final NodeContext context;
  private final Ownership ownership;
  private final WorkerSessions workerSessions;
  private final RegionController controller;
  private final RetryingCommandSender commands;
  private final Map<TaskId, FoundTask> unclaimed = new HashMap<>();
  private final List<PeerMessage.SubmitRequest> heldMessages = new ArrayList<>();
  private final List<ServedRequest> undecided = new ArrayList<>();
  private List<VersionedRecord> scanned = new ArrayList<>();
  private boolean scanEnded;
  private boolean completed;
  private long beganAtMs;
  private long scanAtMs = Long.MAX_VALUE;

  Takeover(
      NodeContext context,
      Ownership ownership,
      WorkerSessions workerSessions,
      RegionController controller,
      RetryingCommandSender commands) {
    this.context = context;
    this.ownership = ownership;
    this.workerSessions = workerSessions;
    this.controller = controller;
    this.commands = commands;
  }

  void begin(long nowMs) {
    beganAtMs = nowMs;
    scan(null);
  }

  boolean isCompleted() {
    return completed;
  }

  /** Holds a request back until the tasks that may run for it are known. */
  void hold(PeerMessage.SubmitRequest message) {
    heldMessages.add(message);
  }

  void adopted(WorkerId worker, WorkerReply.Adopted adopted, long nowMs) {
    for (TaskSnapshot snapshot : adopted.tasks()) {
      FoundTask found = new FoundTask(worker, snapshot, nowMs);
      ServedRequest request = completed ? controller.find(snapshot.key()) : null;
      if (request != null && isUndecided(request)) {
        undecided.remove(request);
        claimTask(request, found, nowMs);
      } else if (request == null || !request.tasks.containsKey(snapshot.task())) {
        unclaimed.put(snapshot.task(), found);
      }
    }
  }

  void tick(long nowMs) {
    if (nowMs >= scanAtMs) {
      scanAtMs = Long.MAX_VALUE;
      scan(null);
    }
    if (!completed) {
      boolean adoptionEnded = workerSessions.isSettled() || nowMs - beganAtMs > MAX_ADOPTION_MS;
      if (scanEnded && adoptionEnded) {
        complete(nowMs);
      }
      return;
    }
    resolveUndecided(nowMs);
    releaseUnclaimed(nowMs);
  }

  /**
   * Hands the tasks that an earlier owner started for a request to the scheduler or the router, or
   * holds the request back until it is known whether it ran. Returns false if it can be queued now.
   */
  boolean claim(ServedRequest request, long nowMs) {
    List<FoundTask> found =
        unclaimed.values().stream()
            .filter(task -> task.snapshot().key().equals(request.content.spec().key()))
            .toList();
    if (!found.isEmpty()) {
      found.forEach(task -> claimTask(request, task, nowMs));
      return true;
    }
    boolean mayHaveRun =
        request.content.state() == RequestRecordState.INTENT
            && !request.content.spec().repeatable();
    if (mayHaveRun) {
      undecided.add(request);
      return true;
    }
    return false;
  }

  private void claimTask(ServedRequest request, FoundTask task, long nowMs) {
    TaskSnapshot snapshot = task.snapshot();
    unclaimed.remove(snapshot.task());
    request.tasks.put(snapshot.task(), task.worker());
    if (request.template.isServiceRequest()) {
      QueuedRequest queued = new QueuedRequest(request.content.spec(), request.template);
      controller.route(new RouterEvent.RunAdopted(task.worker(), snapshot, queued), nowMs);
    } else {
      QueuedJob job = new QueuedJob(request.content.spec(), request.template, null);
      controller.schedule(new SchedulerEvent.TaskAdopted(task.worker(), snapshot, job), nowMs);
    }
  }

  private void scan(@Nullable String afterKey) {
    context
        .store()
        .scan(RequestRowMapper.openPrefix(ownership.region()), afterKey, PAGE_ROWS, this::pageRead);
  }

  private void pageRead(Either<StoreError, RowPage> outcome) {
    if (outcome.isLeft()) {
      scanned = new ArrayList<>();
      scanAtMs = context.now() + SCAN_RETRY_MS;
      return;
    }
    for (StoredRow row : outcome.get().rows()) {
      context
          .codec()
          .decode(row.value())
          .peek(content -> scanned.add(new VersionedRecord(content, row.version())))
          .peekLeft(message -> context.outbox().report("owner:", "unreadable", row.key(), message));
    }
    String next = outcome.get().nextAfterKey();
    if (next != null) {
      scan(next);
      return;
    }
    scanEnded = true;
    scanAtMs = context.now() + RESCAN_MS;
    if (completed) {
      serveScanned(false, context.now());
    } else {
      tick(context.now());
    }
  }

  private void complete(long nowMs) {
    completed = true;
    context
        .outbox()
        .report(
            "owner:",
            "took-over",
            ownership.region(),
            "Epoch " + ownership.epoch() + ", " + scanned.size() + " open requests.");
    serveScanned(true, nowMs);
    List<PeerMessage.SubmitRequest> messages = List.copyOf(heldMessages);
    heldMessages.clear();
    messages.forEach(message -> controller.submit(message, nowMs));
    controller.schedule(new SchedulerEvent.AdoptionCompleted(), nowMs);
  }

  private void serveScanned(boolean fromEarlierOwner, long nowMs) {
    List<VersionedRecord> records = scanned;
    scanned = new ArrayList<>();
    for (VersionedRecord found : records) {
      RequestKey key = found.content().spec().key();
      ServedRequest known = controller.find(key);
      if (known == null) {
        controller.serveRecord(found.content(), found.version(), fromEarlierOwner, nowMs);
      } else if (!known.isDurable()) {
        known.recordVersion = found.version();
      }
    }
  }

  private void resolveUndecided(long nowMs) {
    for (ServedRequest request : List.copyOf(undecided)) {
      if (canAllWorkersReport(request)) {
        undecided.remove(request);
        new AttemptStatusQuery(
                context, ownership, workerSessions, request, this::attemptStatusKnown)
            .begin();
      } else if (nowMs >= request.content.spec().deadlineAtMs()) {
        undecided.remove(request);
        finishUnknown(request, "could not be asked before the deadline");
      }
    }
  }

  private void attemptStatusKnown(ServedRequest request, AttemptStatusQuery.Result result) {
    RequestKey key = request.content.spec().key();
    if (controller.find(key) != request) {
      return;
    }
    switch (result) {
      case NOT_RUN -> controller.queue(request, context.now());
      case MAY_HAVE_RUN -> finishUnknown(request, "no longer has the outcome");
      case NOT_REACHED -> undecided.add(request);
    }
  }

  private void finishUnknown(ServedRequest request, String reason) {
    RequestKey key = request.content.spec().key();
    controller.finish(
        key,
        Answer.failure(
            key,
            RequestError.unknown(
                RequestStep.RUN,
                request.content.workers().toString(),
                "the worker that may have run the request " + reason)));
  }

  private boolean isUndecided(ServedRequest request) {
    return undecided.contains(request);
  }

  /**
   * Returns whether every worker of the recorded attempt is adopted and has not restarted since the
   * request was submitted, so that its report on the attempt is reliable.
   */
  private boolean canAllWorkersReport(ServedRequest request) {
    RequestRecord content = request.content;
    return content.workers().stream()
        .allMatch(worker -> workerSessions.isRunningSince(worker, content.spec().submittedAtMs()));
  }

  private void releaseUnclaimed(long nowMs) {
    for (Iterator<FoundTask> i = unclaimed.values().iterator(); i.hasNext(); ) {
      FoundTask task = i.next();
      if (nowMs - task.foundAtMs() < UNCLAIMED_LIMIT_MS) {
        continue;
      }
      i.remove();
      TaskId id = task.snapshot().task();
      commands.send(task.worker(), new WorkerCommand.Stop(ownership, id));
      commands.send(task.worker(), new WorkerCommand.Acknowledge(ownership, List.of(id)));
    }
  }

  /**
   * A task that a worker held when it was adopted.
   *
   * @param worker the worker
   * @param snapshot the task
   * @param foundAtMs when it was adopted
   */
  private record FoundTask(WorkerId worker, TaskSnapshot snapshot, long foundAtMs) {}
}
