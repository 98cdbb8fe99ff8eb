package dev.bambootray.adapters.relay;

import dev.bambootray.adapters.relay.StoreCall.Verdict;
import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.StoreRouteSelector.Route;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;

/**
 * One store call and its attempts, directly and through other nodes; the first answer wins. If no
 * attempt is answered, the result is the outcome of one that may have been applied, if there is
 * one, and otherwise of one that certainly was not.
 *
 * <p>A wait for changes is attempted once, unless this node is found to be cut off meanwhile: each
 * failed wait takes seconds, and the waiting caller has to read again soon.
 */
final class StoreRace<T> {
  private final RelayedRowStore ways;
  private final StoreCall<T> call;

  /** Whether the store answers late by design, so that a pending attempt is not a failure. */
  private final boolean patient;

  private final CompletableFuture<T> result = new CompletableFuture<>();
  private final Deque<Peer> candidates = new ArrayDeque<>();
  private int outstanding;
  private boolean directAsked;
  private boolean directFailed;
  private boolean peersAsked;
  private @Nullable T refused;
  private @Nullable T unknown;

  StoreRace(RelayedRowStore ways, StoreCall<T> call, boolean patient) {
    this.ways = ways;
    this.call = call;
    this.patient = patient;
  }

  CompletableFuture<T> result() {
    return result;
  }

  void start(Route way) {
    if (way != Route.DIRECT) {
      askPeers();
    }
    if (way != Route.PEER || !hasOutstanding()) {
      askDirectly();
    }
  }

  /** Asks other nodes as well, unless they were asked already or the call has ended. */
  void askPeers() {
    List<Peer> peers = ways.peers();
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
  void giveUp() {
    T end;
    synchronized (this) {
      end = unknown != null ? unknown : call.failed(new TimeoutException("no answer in time"));
    }
    result.complete(end);
  }

  private synchronized boolean hasOutstanding() {
    return outstanding > 0;
  }

  private void askDirectly() {
    synchronized (this) {
      if (directAsked || result.isDone()) {
        return;
      }
      directAsked = true;
      outstanding++;
    }
    long sentMs = ways.nowMs();
    var unused =
        call.on(ways.direct())
            .exceptionally(call::failed)
            .thenAccept(outcome -> onDirect(outcome, sentMs));
  }

  private void onDirect(T outcome, long sentMs) {
    if (call.verdict(outcome) == Verdict.ANSWERED) {
      // The duration of a wait says nothing about the latency of the store.
      ways.answeredDirectly(patient ? ways.nowMs() : sentMs);
      result.complete(outcome);
      return;
    }
    synchronized (this) {
      directFailed = true;
    }
    if (!patient) {
      askPeers();
    }
    lose(outcome);
  }

  private void askNextPeer() {
    Peer peer;
    synchronized (this) {
      peer = result.isDone() ? null : candidates.poll();
      if (peer != null) {
        outstanding++;
      }
    }
    if (peer != null) {
      var unused =
          call.on(ways.through(peer))
              .exceptionally(call::failed)
              .thenAccept(outcome -> onPeer(peer, outcome));
    }
  }

  private void onPeer(Peer peer, T outcome) {
    if (call.verdict(outcome) == Verdict.ANSWERED) {
      boolean isCutOff;
      synchronized (this) {
        isCutOff = directFailed || (directAsked && !patient);
      }
      boolean first = result.complete(outcome);
      ways.answeredByPeer(peer, first, isCutOff);
      return;
    }
    ways.failed(peer);
    boolean last;
    synchronized (this) {
      last = candidates.isEmpty() && !result.isDone();
    }
    if (patient) {
      lose(outcome);
      return;
    }
    if (last) {
      ways.peersFailed();
      askDirectly();
    } else {
      askNextPeer();
    }
    lose(outcome);
  }

  /** Records an attempt without an answer and ends the call if it was the last one. */
  private void lose(T outcome) {
    T end = null;
    synchronized (this) {
      outstanding--;
      if (call.verdict(outcome) == Verdict.UNKNOWN) {
        unknown = outcome;
      } else {
        refused = outcome;
      }
      if (outstanding == 0) {
        end = unknown != null ? unknown : refused;
      }
    }
    if (end != null) {
      result.complete(end);
    }
  }
}
