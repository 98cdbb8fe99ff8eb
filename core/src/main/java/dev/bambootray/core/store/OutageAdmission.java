package dev.bambootray.core.store;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkspaceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which requests a node accepts and holds during an outage of the table.
 *
 * <p>Repeatable requests are served without a record on the caller's open connection; others wait
 * for the table. Both kinds together are limited in number and bytes, and once half of either limit
 * is used no workspace may hold more than its share.
 */
public final class OutageAdmission {
  /** Maximum number of requests held on a node. */
  public static final int MAX_REQUESTS = 1_000;

  /** Maximum number of bytes of the requests held on a node. */
  public static final long MAX_BYTES = 16L * 1024 * 1024;

  /**
   * Time that must remain before the deadline of a request that waits for the table, in
   * milliseconds.
   */
  public static final long MIN_REMAINING_MS = 1_000;

  /**
   * Delay suggested to refused callers, in milliseconds; the backoff tries the table at least this
   * often.
   */
  private static final long RETRY_AFTER_MS = StoreBackoff.CAP_MS;

  private final Map<RequestKey, HeldRequest> held = new LinkedHashMap<>();
  private final Map<WorkspaceId, Usage> usage = new HashMap<>();
  private final int maxRequests;
  private final long maxBytes;
  private long heldBytes;

  private OutageAdmission(int maxRequests, long maxBytes) {
    this.maxRequests = maxRequests;
    this.maxBytes = maxBytes;
  }

  /** Returns an admission that holds no requests and has the default limits. */
  public static OutageAdmission create() {
    return create(MAX_REQUESTS, MAX_BYTES);
  }

  /**
   * Returns an admission that holds no requests.
   *
   * @param maxRequests maximum number of requests held
   * @param maxBytes maximum number of bytes of the requests held
   */
  public static OutageAdmission create(int maxRequests, long maxBytes) {
    return new OutageAdmission(maxRequests, maxBytes);
  }

  /** Returns how many requests are held. */
  public int heldRequests() {
    return held.size();
  }

  /** Returns the bytes of the requests that are held. */
  public long heldBytes() {
    return heldBytes;
  }

  /**
   * Decides how to handle a request that arrived during an outage.
   *
   * @param key the request; a request that is held already is not held twice
   * @param repeatable whether it may run more than once
   * @param sizeBytes size of its parameters
   * @param deadlineMs when its answer is no longer wanted, in milliseconds since the epoch
   * @param nowMs the present time
   */
  public Decision admit(
      RequestKey key, boolean repeatable, long sizeBytes, long deadlineMs, long nowMs) {
    HeldRequest present = held.get(key);
    if (present != null) {
      return present.repeatable() ? new Decision.ServeWithoutRecord() : new Decision.HoldForTable();
    }
    if (!repeatable && deadlineMs - nowMs < MIN_REMAINING_MS) {
      return refuse("the table does not answer and the deadline leaves no time to wait for it");
    }
    if (held.size() >= maxRequests || heldBytes + sizeBytes > maxBytes) {
      return refuse("the table does not answer and this node cannot hold more requests");
    }
    if (isOverShare(key.workspace(), sizeBytes)) {
      return refuse(
          "the table does not answer and the workspace has reached its share of held requests");
    }
    held.put(key, new HeldRequest(repeatable, sizeBytes, deadlineMs));
    usage.computeIfAbsent(key.workspace(), workspace -> new Usage()).add(1, sizeBytes);
    heldBytes += sizeBytes;
    return repeatable ? new Decision.ServeWithoutRecord() : new Decision.HoldForTable();
  }

  /** Removes a request that was answered or cancelled, or whose caller disconnected. */
  public void release(RequestKey key) {
    HeldRequest released = held.remove(key);
    if (released != null) {
      heldBytes -= released.sizeBytes();
      Usage used = usage.get(key.workspace());
      if (used != null && used.add(-1, -released.sizeBytes())) {
        usage.remove(key.workspace());
      }
    }
  }

  /** Removes and returns the waiting requests whose deadline is too near; they did not run. */
  public List<RequestKey> expire(long nowMs) {
    List<RequestKey> expired = new ArrayList<>();
    held.forEach(
        (key, request) -> {
          if (!request.repeatable() && request.deadlineMs() - nowMs < MIN_REMAINING_MS) {
            expired.add(key);
          }
        });
    expired.forEach(this::release);
    return expired;
  }

  /** Removes and returns the waiting requests in order of arrival, once the table answers again. */
  public List<RequestKey> tableRecovered() {
    List<RequestKey> waiting =
        held.entrySet().stream()
            .filter(entry -> !entry.getValue().repeatable())
            .map(Map.Entry::getKey)
            .toList();
    waiting.forEach(this::release);
    return waiting;
  }

  private boolean isOverShare(WorkspaceId workspace, long sizeBytes) {
    if (held.size() < maxRequests / 2 && heldBytes + sizeBytes <= maxBytes / 2) {
      return false;
    }
    Usage used = usage.getOrDefault(workspace, new Usage());
    int others = usage.size() - (usage.containsKey(workspace) ? 1 : 0);
    int sharers = Math.max(2, others + 1);
    return used.requests >= maxRequests / sharers || used.bytes + sizeBytes > maxBytes / sharers;
  }

  private static Decision refuse(String reason) {
    return new Decision.Refuse(reason, RETRY_AFTER_MS);
  }

  /** How a request is handled during an outage. */
  public sealed interface Decision {

    /** Serve it on the caller's connection; the answer is guaranteed only while that is open. */
    record ServeWithoutRecord() implements Decision {}

    /** Keep it until the table answers or its deadline is near. */
    record HoldForTable() implements Decision {}

    /**
     * Refuse it; it did not run.
     *
     * @param reason one plain sentence
     * @param retryAfterMs when to come back, in milliseconds from now
     */
    record Refuse(String reason, long retryAfterMs) implements Decision {}
  }

  private record HeldRequest(boolean repeatable, long sizeBytes, long deadlineMs) {}

  private static final class Usage {
    private int requests;
    private long bytes;

    /** Adds to the usage and returns whether nothing is left. */
    private boolean add(int moreRequests, long moreBytes) {
      requests += moreRequests;
      bytes += moreBytes;
      return requests == 0;
    }
  }
}
