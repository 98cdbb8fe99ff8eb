package dev.bambootray.core.routing;

import dev.bambootray.core.model.WorkspaceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Queues the requests of one service. Workspaces share the slot time by start-time fair queueing;
 * the requests of one workspace are served first come, first served.
 *
 * <p>Removed requests stay in place until they reach the head or make up half of a workspace's
 * queue.
 */
final class FairQueue {
  private final Map<WorkspaceId, Flow> flows = new HashMap<>();
  private final List<Flow> active = new ArrayList<>();
  private double virtualTime;
  private int size;

  /** Returns the number of requests that wait. */
  int size() {
    return size;
  }

  /** Returns the number of requests of one workspace that wait. */
  int sizeOf(WorkspaceId workspace) {
    Flow flow = flows.get(workspace);
    return flow == null ? 0 : flow.size;
  }

  /** Adds a request at the end of its workspace's queue, or at its front. */
  void add(PendingRequest request, double weight, boolean front) {
    Flow flow = flows.computeIfAbsent(request.key().workspace(), id -> new Flow());
    flow.weight = weight;
    if (flow.size == 0) {
      flow.entries.clear();
      flow.startTag = Math.max(flow.startTag, virtualTime);
      active.add(flow);
    }
    if (front) {
      flow.entries.addFirst(request);
    } else {
      flow.entries.addLast(request);
    }
    flow.size++;
    size++;
  }

  /** Returns the request that is served next, or null if the queue is empty. */
  @Nullable PendingRequest peek() {
    Flow flow = next();
    return flow == null ? null : flow.head();
  }

  /** Removes the request that {@link #peek()} returns and charges its cost to its workspace. */
  void poll(double costMs) {
    Flow flow = next();
    if (flow == null) {
      return;
    }
    flow.head();
    flow.entries.removeFirst();
    virtualTime = flow.startTag;
    flow.startTag += costMs / flow.weight;
    requestRemoved(flow);
  }

  /**
   * Removes a request whose state has already changed from queued; its entry may stay in place and
   * is skipped.
   */
  void remove(PendingRequest request) {
    Flow flow = flows.get(request.key().workspace());
    if (flow == null) {
      return;
    }
    requestRemoved(flow);
    if (flow.entries.size() > 16 && flow.size * 2 < flow.entries.size()) {
      flow.entries.removeIf(entry -> entry.state != PendingRequest.State.QUEUED);
    }
  }

  /** Removes a queued request together with its entry, so that it can be added again later. */
  void removeNow(PendingRequest request) {
    Flow flow = flows.get(request.key().workspace());
    if (flow != null && flow.entries.removeFirstOccurrence(request)) {
      requestRemoved(flow);
    }
  }

  /** Estimates how many requests are served before the next request that the workspace adds. */
  double requestsAhead(WorkspaceId workspace, double weight) {
    Flow own = flows.get(workspace);
    return requestsAhead(own, own == null ? 0 : own.size, weight);
  }

  private double requestsAhead(@Nullable Flow own, int ownBefore, double weight) {
    double ahead = ownBefore;
    for (Flow flow : active) {
      if (flow != own) {
        ahead += Math.min(flow.size, (ownBefore + 1) * flow.weight / weight);
      }
    }
    return ahead;
  }

  /**
   * Receives each waiting request with the estimated number of requests that are served before it.
   */
  interface Visitor {
    /** Visits a request; the queue must not be changed during the visit. */
    void visit(PendingRequest request, double ahead);
  }

  /** Visits every waiting request. */
  void forEach(Visitor visitor) {
    for (Flow flow : active) {
      int before = 0;
      for (PendingRequest entry : flow.entries) {
        if (entry.state == PendingRequest.State.QUEUED) {
          visitor.visit(entry, requestsAhead(flow, before, flow.weight));
          before++;
        }
      }
    }
  }

  /**
   * Returns the position of a waiting request within its workspace, from 1, or 0 if it is not
   * queued.
   */
  int positionOf(PendingRequest request) {
    Flow flow = flows.get(request.key().workspace());
    int position = 0;
    if (flow != null) {
      for (PendingRequest entry : flow.entries) {
        position += entry.state == PendingRequest.State.QUEUED ? 1 : 0;
        if (entry == request) {
          return position;
        }
      }
    }
    return 0;
  }

  private @Nullable Flow next() {
    Flow best = null;
    for (int i = 0; i < active.size(); i++) {
      Flow flow = active.get(i);
      if (best == null || flow.startTag < best.startTag) {
        best = flow;
      }
    }
    return best;
  }

  private void requestRemoved(Flow flow) {
    size--;
    flow.size--;
    if (flow.size == 0) {
      flow.entries.clear();
      active.remove(flow);
    }
  }

  private static final class Flow {
    final Deque<PendingRequest> entries = new ArrayDeque<>();
    double weight = 1;
    double startTag;
    int size;

    @Nullable PendingRequest head() {
      PendingRequest entry = entries.peekFirst();
      while (entry != null && entry.state != PendingRequest.State.QUEUED) {
        entries.removeFirst();
        entry = entries.peekFirst();
      }
      return entry;
    }
  }
}
