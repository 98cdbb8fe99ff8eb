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
 * One call of the store on its ways; the first answer wins. If there is none, an attempt that may
 * have been carried out decides over those that certainly were not.
 *
 * <p>A wait for changes is made on one way only, unless this node is found to be cut off meanwhile:
 * each failed wait has taken seconds, and whoever waits has to read anew soon.
 */
final class StoreRace<T> {
  private final RelayedRowStore ways;
  private final StoreCall<T> call;

  /** Whether the store may take its time, so that a pending attempt says nothing. */
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

  /** Ends the call if it has no answer yet; an attempt on its way may still be carried out. */
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
      // A wait took its time by intent, which tells nothing about the store.
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

  /** Notes an attempt without an answer and ends the call if it was the last. */
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
