package dev.bambootray.core.store;

import dev.bambootray.core.store.PendingWriteQueue.Submission;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sends the writes and reads of a node to the table. Writes are grouped into transactions and stay
 * in order for each row; all operations stay within the rate limits of the cluster and share one
 * backoff while the table does not answer.
 *
 * <p>A transaction whose answer was lost is sent again with the same token until the table answers;
 * until then no other write of its rows is sent. A write therefore ends as committed or conflicted,
 * never as unknown.
 */
public final class WriteQueue {
  /** Maximum rate of transactions over all nodes, averaged over any 10 s. */
  public static final double CLUSTER_WRITES_PER_SECOND = 50;

  /** Maximum rate of reads over all nodes, averaged over any 10 s. */
  public static final double CLUSTER_READS_PER_SECOND = 200;

  /** Maximum number of waiting writes. */
  public static final int MAX_WAITING_WRITES = 4_096;

  /** Maximum number of bytes of waiting writes; twice what may be held during an outage. */
  public static final long MAX_WAITING_BYTES = 32L * 1024 * 1024;

  /** Maximum number of waiting reads. */
  public static final int MAX_WAITING_READS = 1_024;

  /**
   * Time after which a waiting read is rejected, so that no stale reads are sent after an outage,
   * in milliseconds.
   */
  private static final long READ_WAIT_MS = 2_000;

  private static final int MAX_IN_FLIGHT = 4;
  private static final int MAX_READS_IN_FLIGHT = 16;

  /**
   * Refilling four fifths of the rate leaves room for a burst of 2 s within any 10 s; without a
   * burst, the writes of a single request would wait for each other.
   */
  private static final double REFILL_SHARE = 0.8;

  private static final double BURST_SECONDS = 2;

  private final String tokenPrefix;
  private final StoreBackoff backoff;
  private final PendingWriteQueue pending = new PendingWriteQueue();
  private final Map<String, Group> inFlight = new LinkedHashMap<>();
  private final Deque<String> tokensToResend = new ArrayDeque<>();
  private final Set<String> busyKeys = new HashSet<>();
  private final Deque<WaitingRead> waitingReads = new ArrayDeque<>();
  private final Set<Long> readsInFlight = new HashSet<>();
  private final RateLimit writeRate = rate(CLUSTER_WRITES_PER_SECOND);
  private final RateLimit readRate = rate(CLUSTER_READS_PER_SECOND);
  private boolean reportedAvailable = true;
  private int attemptsInFlight;
  private long groups;

  private WriteQueue(String tokenPrefix, UniformRandomProvider random) {
    this.tokenPrefix = tokenPrefix;
    this.backoff = new StoreBackoff(random);
  }

  /**
   * Returns an empty queue.
   *
   * @param tokenPrefix unique name of this process, for example node and incarnation
   * @param random jitter of the backoff
   */
  public static WriteQueue create(String tokenPrefix, UniformRandomProvider random) {
    return new WriteQueue(tokenPrefix, random);
  }

  /** Returns whether the last answer of the table was usable. */
  public boolean isAvailable() {
    return backoff.isAvailable();
  }

  /** Returns the number of writes that are waiting or in flight. */
  public int size() {
    return pending.size() + inFlight.values().stream().mapToInt(g -> g.members().size()).sum();
  }

  /** Handles an event and returns the resulting effects. */
  public List<WriteQueueEffect> handle(WriteQueueEvent event, long nowMs) {
    List<WriteQueueEffect> effects = new ArrayList<>();
    if (event instanceof WriteQueueEvent.WriteSubmitted submitted) {
      submit(submitted, nowMs, effects);
    } else if (event instanceof WriteQueueEvent.ReadSubmitted submitted) {
      submitRead(submitted, nowMs, effects);
    } else if (event instanceof WriteQueueEvent.CommitAnswered answered) {
      answered(answered, nowMs, effects);
    } else if (event instanceof WriteQueueEvent.CommitFailed failed) {
      commitFailed(failed, nowMs);
    } else if (event instanceof WriteQueueEvent.ReadAnswered answered) {
      if (readsInFlight.remove(answered.id())) {
        attemptsInFlight--;
        recovered(nowMs);
      }
    } else if (event instanceof WriteQueueEvent.ReadFailed failed) {
      if (readsInFlight.remove(failed.id())) {
        attemptsInFlight--;
        backoff.failed(nowMs);
      }
    } else if (event instanceof WriteQueueEvent.NodesChanged changed) {
      writeRate.shareAmong(Math.max(1, changed.nodes()));
      readRate.shareAmong(Math.max(1, changed.nodes()));
    }
    dropOverdue(nowMs, effects);
    send(nowMs, effects);
    if (reportedAvailable != backoff.isAvailable()) {
      reportedAvailable = backoff.isAvailable();
      effects.add(new WriteQueueEffect.AvailabilityChanged(reportedAvailable));
    }
    return effects;
  }

  private void submit(
      WriteQueueEvent.WriteSubmitted submitted, long nowMs, List<WriteQueueEffect> effects) {
    Submission submission = Submission.of(submitted);
    if (pending.size() >= MAX_WAITING_WRITES
        || pending.bytes() + submission.bytes() > MAX_WAITING_BYTES) {
      reject(submitted.id(), "the queue of writes to the table is full", nowMs, effects);
    } else {
      pending.add(submission);
    }
  }

  private void submitRead(
      WriteQueueEvent.ReadSubmitted submitted, long nowMs, List<WriteQueueEffect> effects) {
    if (waitingReads.size() >= MAX_WAITING_READS) {
      reject(submitted.id(), "the queue of reads of the table is full", nowMs, effects);
    } else {
      waitingReads.addLast(new WaitingRead(submitted.id(), submitted.read(), nowMs + READ_WAIT_MS));
    }
  }

  private void dropOverdue(long nowMs, List<WriteQueueEffect> effects) {
    String reason = "the table did not answer in time";
    for (Submission overdue : pending.takeOverdue(nowMs)) {
      reject(overdue.id(), reason, nowMs, effects);
    }
    WaitingRead oldest = waitingReads.peekFirst();
    while (oldest != null && nowMs > oldest.dropAfterMs()) {
      waitingReads.removeFirst();
      reject(oldest.id(), reason, nowMs, effects);
      oldest = waitingReads.peekFirst();
    }
  }

  private void reject(long id, String reason, long nowMs, List<WriteQueueEffect> effects) {
    long retryAfterMs =
        Math.max(StoreBackoff.CAP_MS, backoff.isWaiting(nowMs) ? backoff.retryAtMs() - nowMs : 0);
    effects.add(new WriteQueueEffect.OperationRejected(id, reason, retryAfterMs));
  }

  private void answered(
      WriteQueueEvent.CommitAnswered answered, long nowMs, List<WriteQueueEffect> effects) {
    Group group = inFlight.remove(answered.writeToken());
    if (group == null) {
      return;
    }
    if (!tokensToResend.remove(answered.writeToken())) {
      attemptsInFlight--;
    }
    recovered(nowMs);
    group.members().forEach(member -> busyKeys.removeAll(member.keys()));
    if (answered.result() instanceof CommitResult.Committed committed) {
      int from = 0;
      for (Submission member : group.members()) {
        int to = from + member.writes().size();
        effects.add(
            new WriteQueueEffect.WriteCommitted(
                member.id(), committed.versions().subList(from, to)));
        from = to;
      }
    } else if (answered.result() instanceof CommitResult.Conflict conflict) {
      if (group.members().size() == 1) {
        long id = group.members().get(0).id();
        effects.add(new WriteQueueEffect.WriteConflicted(id, conflict.current()));
      } else {
        // The conflict of one member must not fail the others.
        pending.putBack(group.members(), true);
      }
    }
  }

  private void commitFailed(WriteQueueEvent.CommitFailed failed, long nowMs) {
    Group group = inFlight.get(failed.writeToken());
    if (group == null || tokensToResend.contains(failed.writeToken())) {
      return;
    }
    attemptsInFlight--;
    backoff.failed(nowMs);
    if (failed.error().maybeApplied() || group.maybeApplied()) {
      inFlight.put(failed.writeToken(), new Group(group.members(), true));
      tokensToResend.addLast(failed.writeToken());
    } else {
      // The transaction cannot take effect any more, so its writes may be grouped again or dropped
      // when overdue.
      inFlight.remove(failed.writeToken());
      group.members().forEach(member -> busyKeys.removeAll(member.keys()));
      pending.putBack(group.members(), false);
    }
  }

  private void recovered(long nowMs) {
    if (!backoff.isAvailable()) {
      // All nodes recover at about the same time, so each starts at its rate without a burst.
      writeRate.drain(nowMs);
      readRate.drain(nowMs);
    }
    backoff.succeeded();
  }

  private void send(long nowMs, List<WriteQueueEffect> effects) {
    while (maySend(nowMs) && (resend(nowMs, effects) || sendNext(nowMs, effects))) {
      // Each round sends one transaction.
    }
    while (maySend(nowMs) && sendRead(nowMs, effects)) {
      // Each round sends one read.
    }
  }

  /**
   * Returns whether an operation may be sent, only one at a time while the table does not answer.
   */
  private boolean maySend(long nowMs) {
    return !backoff.isWaiting(nowMs) && (backoff.isAvailable() || attemptsInFlight == 0);
  }

  private boolean resend(long nowMs, List<WriteQueueEffect> effects) {
    String token = tokensToResend.pollFirst();
    Group group = token == null ? null : inFlight.get(token);
    if (token == null || group == null) {
      return false;
    }
    dispatch(token, group, nowMs, effects);
    return true;
  }

  private boolean sendNext(long nowMs, List<WriteQueueEffect> effects) {
    boolean urgentOnly = inFlight.size() >= MAX_IN_FLIGHT || !writeRate.mayTake(nowMs);
    if (urgentOnly && !pending.hasUrgent()) {
      return false;
    }
    List<Submission> members = pending.takeGroup(busyKeys, urgentOnly);
    if (members.isEmpty()) {
      return false;
    }
    String token = tokenPrefix + ":" + ++groups;
    Group group = new Group(members, false);
    inFlight.put(token, group);
    members.forEach(member -> busyKeys.addAll(member.keys()));
    dispatch(token, group, nowMs, effects);
    return true;
  }

  private void dispatch(String token, Group group, long nowMs, List<WriteQueueEffect> effects) {
    writeRate.take(nowMs);
    attemptsInFlight++;
    List<RowWrite> writes = new ArrayList<>();
    group.members().forEach(member -> writes.addAll(member.writes()));
    effects.add(new WriteQueueEffect.SendTransaction(new TableTransaction(token, writes)));
  }

  private boolean sendRead(long nowMs, List<WriteQueueEffect> effects) {
    if (readsInFlight.size() >= MAX_READS_IN_FLIGHT || !readRate.mayTake(nowMs)) {
      return false;
    }
    WaitingRead next = waitingReads.pollFirst();
    if (next == null) {
      return false;
    }
    readRate.take(nowMs);
    attemptsInFlight++;
    readsInFlight.add(next.id());
    effects.add(new WriteQueueEffect.SendRead(next.id(), next.read()));
    return true;
  }

  private static RateLimit rate(double perSecond) {
    return new RateLimit(perSecond * REFILL_SHARE, perSecond * BURST_SECONDS);
  }

  private record WaitingRead(long id, StoreRead read, long dropAfterMs) {}

  /**
   * The writes of a transaction in flight.
   *
   * @param members the writes
   * @param maybeApplied whether an answer was lost, so that it must be sent again unchanged
   */
  private record Group(List<Submission> members, boolean maybeApplied) {}
}
