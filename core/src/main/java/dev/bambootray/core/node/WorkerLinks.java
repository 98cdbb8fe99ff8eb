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
final class WorkerLinks {
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
  private final Map<WorkerId, Link> links = new HashMap<>();
  private boolean closed;

  WorkerLinks(NodeContext context, Ownership ownership, Listener listener) {
    this.context = context;
    this.ownership = ownership;
    this.listener = listener;
  }

  /** Starts to adopt newly declared workers of the region and drops undeclared ones. */
  void update(Map<WorkerId, WorkerDeclaration> declared, long nowMs) {
    links
        .entrySet()
        .removeIf(
            entry -> {
              if (declared.containsKey(entry.getKey())) {
                return false;
              }
              entry.getValue().state = LinkState.REMOVED;
              listener.lost(entry.getKey(), nowMs);
              return true;
            });
    for (WorkerDeclaration worker : declared.values()) {
      Link link = links.get(worker.id());
      if (link == null) {
        link = new Link(worker, nowMs);
        links.put(worker.id(), link);
        adopt(link);
      } else {
        link.worker = worker;
      }
    }
  }

  /** Returns whether the first attempt to adopt has ended for every worker. */
  boolean isSettled() {
    return links.values().stream().noneMatch(link -> link.state == LinkState.ADOPTING);
  }

  /** Returns the worker if it is adopted and reachable, else null. */
  @Nullable WorkerDeclaration reachable(WorkerId id) {
    Link link = links.get(id);
    return link != null && link.state == LinkState.UP ? link.worker : null;
  }

  /**
   * Returns whether a worker is adopted and its agent has been running since before the given time.
   */
  boolean knowsAllSince(WorkerId id, long sinceMs) {
    Link link = links.get(id);
    return link != null && link.state == LinkState.UP && link.agentStartedAtMs < sinceMs;
  }

  /** Marks a worker as leaving because the list of VMs says so. */
  void vmLeaving(WorkerId id, long nowMs) {
    Link link = links.get(id);
    if (link != null) {
      setLeaving(link, true, nowMs);
    }
  }

  /** Stops or resumes new work on a worker as requested by an operator. */
  void drain(WorkerId id, boolean drain, long nowMs) {
    Link link = links.get(id);
    if (link != null) {
      setLeaving(link, drain, nowMs);
    }
  }

  void tick(long nowMs) {
    for (Link link : links.values()) {
      if (!link.callUnderWay && nowMs >= link.nextCallAtMs) {
        if (link.state == LinkState.UP) {
          poll(link);
        } else {
          adopt(link);
        }
      }
    }
  }

  void close() {
    closed = true;
  }

  private void adopt(Link link) {
    link.callUnderWay = true;
    context
        .outbox()
        .callWorker(
            link.worker,
            new WorkerCommand.Adopt(ownership),
            ADOPT_TIMEOUT_MS,
            reply -> adoptEnded(link, reply, context.now()));
  }

  private void adoptEnded(Link link, WorkerReply reply, long nowMs) {
    link.callUnderWay = false;
    link.nextCallAtMs = nowMs + RETRY_MS;
    if (closed || link.state == LinkState.REMOVED || isFenced(reply)) {
      return;
    }
    if (!(reply instanceof WorkerReply.Adopted adopted)) {
      link.state = LinkState.LOST;
      return;
    }
    link.state = LinkState.UP;
    link.sequence = adopted.sequence();
    link.lastContactMs = nowMs;
    link.agentStartedAtMs = nowMs - adopted.aliveForMs();
    link.nextCallAtMs = nowMs;
    link.leaving = false;
    listener.adopted(link.worker.id(), adopted, nowMs);
    setLeaving(link, adopted.leaving(), nowMs);
    poll(link);
  }

  private void poll(Link link) {
    link.callUnderWay = true;
    long waitMs =
        Math.min(MAX_POLL_MS, Math.max(MIN_POLL_MS, links.size() * 1_000L / POLLS_PER_SECOND));
    context
        .outbox()
        .callWorker(
            link.worker,
            new WorkerCommand.PollEvents(ownership, link.sequence, waitMs, TASK_LEASE_MS),
            waitMs + POLL_GRACE_MS,
            reply -> pollEnded(link, reply, context.now()));
  }

  private void pollEnded(Link link, WorkerReply reply, long nowMs) {
    link.callUnderWay = false;
    if (closed || link.state != LinkState.UP || isFenced(reply)) {
      return;
    }
    if (reply instanceof WorkerReply.Events events) {
      link.lastContactMs = nowMs;
      link.nextCallAtMs = nowMs;
      if (!events.events().isEmpty()) {
        link.sequence = events.events().get(events.events().size() - 1).sequence();
      }
      listener.events(link.worker.id(), events, nowMs);
      if (events.leaving()) {
        setLeaving(link, true, nowMs);
      }
      poll(link);
      return;
    }
    link.nextCallAtMs = nowMs + RETRY_MS;
    boolean restarted =
        reply instanceof WorkerReply.Refused refused
            && refused.reason() == RefusalReason.NOT_ADOPTED;
    if (restarted || nowMs - link.lastContactMs > LOST_AFTER_MS) {
      link.state = LinkState.LOST;
      listener.lost(link.worker.id(), nowMs);
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

  private void setLeaving(Link link, boolean leaving, long nowMs) {
    if (link.leaving == leaving || link.state != LinkState.UP) {
      return;
    }
    link.leaving = leaving;
    if (leaving) {
      listener.leaving(link.worker.id(), nowMs);
    } else {
      listener.resumed(link.worker.id(), nowMs);
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

  private enum LinkState {
    ADOPTING,
    UP,
    LOST,
    REMOVED
  }

  private static final class Link {
    private WorkerDeclaration worker;
    private LinkState state = LinkState.ADOPTING;
    private boolean callUnderWay;
    private boolean leaving;
    private long sequence;
    private long lastContactMs;
    private long nextCallAtMs;
    private long agentStartedAtMs;

    private Link(WorkerDeclaration worker, long nowMs) {
      this.worker = worker;
      this.lastContactMs = nowMs;
      this.nextCallAtMs = nowMs;
    }
  }
}
