package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Maintains a session between the owner of a region and each of its workers: adopts the worker,
 * then keeps one poll for events open, which also renews the leases of the worker's tasks.
 */
final class WorkerSessions {
  /** Task lease: outlasts a takeover, yet frees the capacity of an unreachable worker soon. */
  static final long TASK_LEASE_MS = 30_000;

  private static final long ADOPT_TIMEOUT_MS = 1_500;
  private static final long RETRY_MS = 500;
  private static final long LOST_AFTER_MS = 5_000;
  private static final long MIN_POLL_MS = 1_000;
  private static final long MAX_POLL_MS = 10_000;
  private static final long POLL_GRACE_MS = 1_000;

  /** Maximum rate of polls of one owner; at 500 B per poll its traffic stays within 26 KB/s. */
  private static final long POLLS_PER_SECOND = 26;

  private final NodeContext context;
  private final Ownership ownership;
  private final Listener listener;
  private final Map<WorkerId, WorkerSession> sessions = new HashMap<>();
  private boolean closed;

  WorkerSessions(NodeContext context, Ownership ownership, Listener listener) {
    this.context = context;
    this.ownership = ownership;
    this.listener = listener;
  }

  /** Starts to adopt newly declared workers of the region and drops undeclared ones. */
  void update(Map<WorkerId, WorkerDeclaration> declared, long nowMs) {
    sessions
        .entrySet()
        .removeIf(
            entry -> {
              if (declared.containsKey(entry.getKey())) {
                return false;
              }
              entry.getValue().state = SessionState.REMOVED;
              listener.lost(entry.getKey(), nowMs);
              return true;
            });
    for (WorkerDeclaration worker : declared.values()) {
      WorkerSession session = sessions.get(worker.id());
      if (session == null) {
        session = new WorkerSession(worker, nowMs);
        sessions.put(worker.id(), session);
        adopt(session);
      } else {
        session.worker = worker;
      }
    }
  }

  /** Returns whether the first attempt to adopt has ended for every worker. */
  boolean isSettled() {
    return sessions.values().stream().noneMatch(session -> session.state == SessionState.ADOPTING);
  }

  /** Returns the worker if it is adopted and reachable, else null. */
  @Nullable WorkerDeclaration reachable(WorkerId id) {
    WorkerSession session = sessions.get(id);
    return session != null && session.state == SessionState.UP ? session.worker : null;
  }

  /**
   * Returns whether a worker is adopted and its agent has been running since before the given time.
   */
  boolean isRunningSince(WorkerId id, long sinceMs) {
    WorkerSession session = sessions.get(id);
    return session != null
        && session.state == SessionState.UP
        && session.agentStartedAtMs < sinceMs;
  }

  /** Marks a worker as leaving because the list of VMs says so. */
  void vmLeaving(WorkerId id, long nowMs) {
    WorkerSession session = sessions.get(id);
    if (session != null) {
      setLeaving(session, true, nowMs);
    }
  }

  /** Stops or resumes new work on a worker as requested by an operator. */
  void drain(WorkerId id, boolean drain, long nowMs) {
    WorkerSession session = sessions.get(id);
    if (session != null) {
      setLeaving(session, drain, nowMs);
    }
  }

  void tick(long nowMs) {
    for (WorkerSession session : sessions.values()) {
      if (!session.callInProgress && nowMs >= session.nextCallAtMs) {
        if (session.state == SessionState.UP) {
          poll(session);
        } else {
          adopt(session);
        }
      }
    }
  }

  void close() {
    closed = true;
  }

  private void adopt(WorkerSession session) {
    session.callInProgress = true;
    context
        .outbox()
        .callWorker(
            session.worker,
            new WorkerCommand.Adopt(ownership),
            ADOPT_TIMEOUT_MS,
            reply -> adoptEnded(session, reply, context.now()));
  }

  private void adoptEnded(WorkerSession session, WorkerReply reply, long nowMs) {
    session.callInProgress = false;
    session.nextCallAtMs = nowMs + RETRY_MS;
    if (closed || session.state == SessionState.REMOVED || isFenced(reply)) {
      return;
    }
    if (!(reply instanceof WorkerReply.Adopted adopted)) {
      session.state = SessionState.LOST;
      return;
    }
    session.state = SessionState.UP;
    session.sequence = adopted.sequence();
    session.lastContactMs = nowMs;
    session.agentStartedAtMs = nowMs - adopted.aliveForMs();
    session.nextCallAtMs = nowMs;
    session.leaving = false;
    listener.adopted(session.worker.id(), adopted, nowMs);
    setLeaving(session, adopted.leaving(), nowMs);
    poll(session);
  }

  private void poll(WorkerSession session) {
    session.callInProgress = true;
    long waitMs =
        Math.min(MAX_POLL_MS, Math.max(MIN_POLL_MS, sessions.size() * 1_000L / POLLS_PER_SECOND));
    context
        .outbox()
        .callWorker(
            session.worker,
            new WorkerCommand.PollEvents(ownership, session.sequence, waitMs, TASK_LEASE_MS),
            waitMs + POLL_GRACE_MS,
            reply -> pollEnded(session, reply, context.now()));
  }

  private void pollEnded(WorkerSession session, WorkerReply reply, long nowMs) {
    session.callInProgress = false;
    if (closed || session.state != SessionState.UP || isFenced(reply)) {
      return;
    }
    if (reply instanceof WorkerReply.Events events) {
      session.lastContactMs = nowMs;
      session.nextCallAtMs = nowMs;
      if (!events.events().isEmpty()) {
        session.sequence = events.events().get(events.events().size() - 1).sequence();
      }
      listener.events(session.worker.id(), events, nowMs);
      if (events.leaving()) {
        setLeaving(session, true, nowMs);
      }
      poll(session);
      return;
    }
    session.nextCallAtMs = nowMs + RETRY_MS;
    boolean restarted =
        reply instanceof WorkerReply.Refused refused
            && refused.reason() == RefusalReason.NOT_ADOPTED;
    if (restarted || nowMs - session.lastContactMs > LOST_AFTER_MS) {
      session.state = SessionState.LOST;
      listener.lost(session.worker.id(), nowMs);
    }
  }

  private boolean isFenced(WorkerReply reply) {
    if (reply instanceof WorkerReply.Refused refused
        && refused.reason() == RefusalReason.STALE_EPOCH) {
      closed = true;
      listener.fenced(refused.highestEpoch());
      return true;
    }
    return false;
  }

  private void setLeaving(WorkerSession session, boolean leaving, long nowMs) {
    if (session.leaving == leaving || session.state != SessionState.UP) {
      return;
    }
    session.leaving = leaving;
    if (leaving) {
      listener.leaving(session.worker.id(), nowMs);
    } else {
      listener.resumed(session.worker.id(), nowMs);
    }
  }

  /** Receives the changes of the workers' states. */
  interface Listener {
    void adopted(WorkerId worker, WorkerReply.Adopted adopted, long nowMs);

    void events(WorkerId worker, WorkerReply.Events events, long nowMs);

    void leaving(WorkerId worker, long nowMs);

    void resumed(WorkerId worker, long nowMs);

    void lost(WorkerId worker, long nowMs);

    /** Called when a worker was adopted under a higher epoch: another node owns the region. */
    void fenced(long higherEpoch);
  }

  private enum SessionState {
    ADOPTING,
    UP,
    LOST,
    REMOVED
  }

  private static final class WorkerSession {
    private WorkerDeclaration worker;
    private SessionState state = SessionState.ADOPTING;
    private boolean callInProgress;
    private boolean leaving;
    private long sequence;
    private long lastContactMs;
    private long nextCallAtMs;
    private long agentStartedAtMs;

    private WorkerSession(WorkerDeclaration worker, long nowMs) {
      this.worker = worker;
      this.lastContactMs = nowMs;
      this.nextCallAtMs = nowMs;
    }
  }
}
