package dev.bambootray.adapters.relay;

import dev.bambootray.adapters.relay.StoreCall.OutcomeKind;
import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.StoreRouteSelector.Route;
import dev.bambootray.ports.RowStore;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * One store call and its attempts, directly and through other nodes; the first answer wins. If no
 * attempt is answered, the result is the outcome of one that may have been applied, if there is
 * one, and otherwise of one that certainly was not.
 *
 * <p>A wait for changes is attempted once, unless this node is found to be cut off meanwhile: each
 * failed wait takes seconds, and the waiting caller has to read again soon.
 */
final class HedgedStoreCall<T> {
  /**
   * Longest time in which another node gets an answer from a store that is not slow; two round
   * trips between regions take 90 ms.
   */
  private static final long FAST_PROBE_MS = 200;

  private final RelayedRowStore relayedStore;
  private final StoreCall<T> call;

  /** Whether the store answers late by design, so that a pending attempt is not a failure. */
  private final boolean isLongPoll;

  private final CompletableFuture<T> result = new CompletableFuture<>();
  private final Deque<Peer> candidates = new ArrayDeque<>();
  private int pendingAttempts;
  private boolean directAsked;
  private boolean directFailed;
  private boolean peersAsked;
  private @Nullable T refusedOutcome;
  private @Nullable T unknownOutcome;

  HedgedStoreCall(RelayedRowStore ways, StoreCall<T> call, boolean patient) {
    this.relayedStore = ways;
    this.call = call;
    this.isLongPoll = patient;
  }

  CompletableFuture<T> result() {
    return result;
  }

  void start(Route way) {
    if (way != Route.DIRECT) {
      askPeers();
    }
    if (way != Route.PEER || !hasPendingAttempt()) {
      askDirectly();
    }
  }

  /**
   * Asks other nodes because the direct attempt is late. A call that would wait behind its own
   * first attempt goes through another node only if that node reaches the store faster: while the
   * store is slow for all, further attempts would make it slower.
   */
  void hedge() {
    List<Peer> peers = relayedStore.peers();
    for (Peer peer : peers) {
      long sentMs = relayedStore.nowMs();
      CompletableFuture<Boolean> probe = probe(peer);
      if (probe == null) {
        askPeers(peers);
        return;
      }
      var unused =
          probe
              .exceptionally(error -> false)
              .thenAccept(
                  answered -> {
                    if (answered && relayedStore.nowMs() - sentMs <= FAST_PROBE_MS) {
                      askPeers(withFirst(peer, peers));
                    }
                  });
    }
  }

  private @Nullable CompletableFuture<Boolean> probe(Peer peer) {
    try {
      return call.probe(relayedStore.storeOf(peer));
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(false);
    }
  }

  /** Asks other nodes as well, unless they were asked already or the call has ended. */
  void askPeers() {
    askPeers(relayedStore.peers());
  }

  private static List<Peer> withFirst(Peer first, List<Peer> peers) {
    List<Peer> sorted = new ArrayList<>(peers);
    sorted.remove(first);
    sorted.add(0, first);
    return sorted;
  }

  private void askPeers(List<Peer> peers) {
    synchronized (this) {
      if (peersAsked || result.isDone() || peers.isEmpty()) {
        return;
      }
      peersAsked = true;
      candidates.addAll(peers);
    }
    askNextPeer();
  }

  /** Ends the call if it has no answer yet; a pending attempt may still be applied. */
  void timeOut() {
    T end;
    synchronized (this) {
      end =
          unknownOutcome != null
              ? unknownOutcome
              : call.failureOutcome(new TimeoutException("no answer in time"));
    }
    result.complete(end);
  }

  private synchronized boolean hasPendingAttempt() {
    return pendingAttempts > 0;
  }

  private void askDirectly() {
    synchronized (this) {
      if (directAsked || result.isDone()) {
        return;
      }
      directAsked = true;
      pendingAttempts++;
    }
    long sentMs = relayedStore.nowMs();
    var unused =
        attempt(relayedStore::direct).thenAccept(outcome -> onDirectOutcome(outcome, sentMs));
  }

  /** Makes one attempt; an attempt that throws must count as ended, or the call would not end. */
  private CompletableFuture<T> attempt(Supplier<RowStore> store) {
    try {
      return call.sendTo(store.get()).exceptionally(call::failureOutcome);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(call.failureOutcome(e));
    }
  }

  private void onDirectOutcome(T outcome, long sentMs) {
    if (call.kindOf(outcome) == OutcomeKind.ANSWERED) {
      // The duration of a wait says nothing about the latency of the store.
      relayedStore.onDirectAnswer(isLongPoll ? relayedStore.nowMs() : sentMs);
      result.complete(outcome);
      return;
    }
    synchronized (this) {
      directFailed = true;
    }
    if (!isLongPoll) {
      askPeers();
    }
    endFailedAttempt(outcome);
  }

  private void askNextPeer() {
    Peer peer;
    synchronized (this) {
      peer = result.isDone() ? null : candidates.poll();
      if (peer != null) {
        pendingAttempts++;
      }
    }
    if (peer != null) {
      var unused =
          attempt(() -> relayedStore.storeOf(peer))
              .thenAccept(outcome -> onPeerOutcome(peer, outcome));
    }
  }

  private void onPeerOutcome(Peer peer, T outcome) {
    if (call.kindOf(outcome) == OutcomeKind.ANSWERED) {
      boolean isCutOff;
      synchronized (this) {
        isCutOff = directFailed || (directAsked && !isLongPoll);
      }
      boolean first = result.complete(outcome);
      relayedStore.onPeerAnswer(peer, first, isCutOff);
      return;
    }
    relayedStore.onPeerFailed(peer);
    boolean last;
    synchronized (this) {
      last = candidates.isEmpty() && !result.isDone();
    }
    if (isLongPoll) {
      endFailedAttempt(outcome);
      return;
    }
    if (last) {
      relayedStore.onPeersFailed();
      askDirectly();
    } else {
      askNextPeer();
    }
    endFailedAttempt(outcome);
  }

  /** Records an attempt without an answer and ends the call if it was the last one. */
  private void endFailedAttempt(T outcome) {
    T end = null;
    synchronized (this) {
      pendingAttempts--;
      if (call.kindOf(outcome) == OutcomeKind.UNKNOWN) {
        unknownOutcome = outcome;
      } else {
        refusedOutcome = outcome;
      }
      if (pendingAttempts == 0) {
        end = unknownOutcome != null ? unknownOutcome : refusedOutcome;
      }
    }
    if (end != null) {
      result.complete(end);
    }
  }
}
