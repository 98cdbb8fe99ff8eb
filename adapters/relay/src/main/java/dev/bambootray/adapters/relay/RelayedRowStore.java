package dev.bambootray.adapters.relay;

import dev.bambootray.adapters.httpclient.PeerConnectionPools;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.PeerSelector;
import dev.bambootray.jobs.reach.StoreRouteSelector;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.OlderTables;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Calls the store directly or, if the store does not answer this node, through other nodes.
 *
 * <p>The other node makes the call itself, so there is at most one hop. A transaction may therefore
 * be sent twice; its conditions let it apply only once, and the second attempt gets a conflict with
 * the first.
 */
public final class RelayedRowStore implements RowStore {
  /** Time limit of a read over all its attempts; the direct one alone may take 1 s. */
  private static final long READ_TIMEOUT_MS = 1_300;

  /**
   * Added to the requested wait for changes to get the time limit over all attempts; longer than
   * that of one attempt, which tells why it failed.
   */
  private static final long CHANGES_MARGIN_MS = 1_000;

  /** Follows a key directly in the order of keys. */
  private static final String AFTER_KEY = "\u0001";

  private final RowStore direct;
  private final Function<String, RowStore> peerStores;
  private final Function<String, RowStore> olderPeerStores;
  private final StoreRouteSelector route;
  private final PeerSelector order;
  private final Timers timers;
  private final LongSupplier clockMs;
  private final Listener listener;
  private final OlderTables olderTables;
  private final Set<HedgedStoreCall<ChangePage>> activePolls = ConcurrentHashMap.newKeySet();

  /** Schedules delayed actions. */
  public interface Timers {
    /**
     * Runs an action after a delay.
     *
     * @param action the action
     * @param delayMs the delay in milliseconds
     * @return an action that cancels the scheduled one
     */
    Runnable runLater(Runnable action, long delayMs);
  }

  /** Is notified of how calls reach the store. */
  public interface Listener {
    /** Called when the node starts to use other nodes, the given one first, as it is cut off. */
    void onCutOff(Peer helper);

    /** Called when a call was answered through another node. */
    void onRelayed();

    /**
     * Called when no other node got an answer from the store.
     *
     * @param first whether this is the first such failure since the store answered a call
     */
    void onPeersFailed(boolean first);
  }

  private RelayedRowStore(
      Builder builder,
      Function<String, RowStore> peerStores,
      Function<String, RowStore> olderPeerStores) {
    direct = builder.direct;
    this.peerStores = peerStores;
    this.olderPeerStores = olderPeerStores;
    route = new StoreRouteSelector();
    order = builder.order;
    timers = builder.timers;
    clockMs = builder.clockMs;
    listener = builder.listener;
    olderTables = builder.olderTables;
  }

  /**
   * Returns a builder.
   *
   * @param direct the store as this node itself reaches it
   * @param order selects the nodes to ask
   * @param timers timers of the traffic thread
   * @param listener is notified of how calls reach the store
   */
  public static Builder builder(
      RowStore direct, PeerSelector order, Timers timers, Listener listener) {
    return new Builder(direct, order, timers, listener);
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    return callHedged(
        new StoreCall<>() {
          @Override
          public CompletableFuture<CommitOutcome> sendTo(RowStore store) {
            return store.commit(conditions, changes, timeoutMs);
          }

          @Override
          public OutcomeKind kindOf(CommitOutcome outcome) {
            if (outcome instanceof CommitOutcome.Refused) {
              return OutcomeKind.REFUSED;
            }
            return outcome instanceof CommitOutcome.Unknown
                ? OutcomeKind.UNKNOWN
                : OutcomeKind.ANSWERED;
          }

          @Override
          public @Nullable CompletableFuture<Boolean> probe(RowStore store) {
            if (changes.isEmpty()) {
              return null;
            }
            RowChange first = changes.get(0);
            return store
                .read(first.table(), first.key(), first.key() + AFTER_KEY, 1)
                .thenApply(Either::isRight);
          }

          @Override
          public CommitOutcome failureOutcome(Throwable error) {
            return new CommitOutcome.Unknown("unexpected error " + error);
          }
        },
        timeoutMs);
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    return callHedged(
        new StoreCall<>() {
          @Override
          public CompletableFuture<Either<StoreError, RowReadPage>> sendTo(RowStore store) {
            return store.read(table, from, to, limit);
          }

          @Override
          public OutcomeKind kindOf(Either<StoreError, RowReadPage> outcome) {
            return outcome.isRight() ? OutcomeKind.ANSWERED : OutcomeKind.REFUSED;
          }

          @Override
          public Either<StoreError, RowReadPage> failureOutcome(Throwable error) {
            return Either.left(new StoreError(table, "unexpected error " + error, false));
          }
        },
        READ_TIMEOUT_MS);
  }

  @Override
  public boolean isBusy() {
    return direct.isBusy();
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    long startMs = nowMs();
    HedgedStoreCall<ChangePage> race =
        new HedgedStoreCall<>(
            this,
            new StoreCall<>() {
              @Override
              public CompletableFuture<ChangePage> sendTo(RowStore store) {
                // A wait that moves to another node only goes on for the rest of its time.
                long waitedMs = nowMs() - startMs;
                return store.changes(table, after, Math.max(0, waitMs - waitedMs));
              }

              @Override
              public OutcomeKind kindOf(ChangePage outcome) {
                return outcome instanceof ChangePage.Failed
                    ? OutcomeKind.REFUSED
                    : OutcomeKind.ANSWERED;
              }

              @Override
              public ChangePage failureOutcome(Throwable error) {
                return new ChangePage.Failed("unexpected error " + error);
              }
            },
            true);
    // A pending wait does not show whether the store can be reached, so it moves to another node
    // only once this node is known to be cut off.
    activePolls.add(race);
    race.start(
        route.isViaPeers() ? StoreRouteSelector.Route.PEER : StoreRouteSelector.Route.DIRECT);
    Runnable cancel =
        race.result().isDone()
            ? () -> {}
            : timers.runLater(race::timeOut, waitMs + CHANGES_MARGIN_MS);
    return race.result()
        .whenComplete(
            (page, error) -> {
              cancel.run();
              boolean unused = activePolls.remove(race);
            });
  }

  /**
   * Makes a call that is normally answered soon: asks other nodes if the answer is late, and ends
   * the call after a time limit over all attempts.
   */
  private <T> CompletableFuture<T> callHedged(StoreCall<T> call, long limitMs) {
    HedgedStoreCall<T> race = new HedgedStoreCall<>(this, call, false);
    race.start(route.next(nowMs()));
    if (!race.result().isDone()) {
      Runnable cancel = timers.runLater(race::timeOut, limitMs);
      var unused = race.result().whenComplete((outcome, error) -> cancel.run());
    }
    if (!race.result().isDone() && !peers().isEmpty()) {
      Runnable cancel = timers.runLater(race::hedge, route.hedgeDelayMs());
      var unused = race.result().whenComplete((outcome, error) -> cancel.run());
    }
    return race.result();
  }

  RowStore direct() {
    return direct;
  }

  RowStore storeOf(Peer peer) {
    return peer.format() >= Peer.FORMAT
        ? peerStores.apply(peer.address())
        : new OlderPeerStore(olderPeerStores.apply(peer.address()), olderTables, peer.format());
  }

  /** Returns the nodes to ask now; none for a while after they could not reach the store either. */
  List<Peer> peers() {
    return route.mayAskPeers(nowMs()) ? order.candidates(nowMs()) : List.of();
  }

  long nowMs() {
    return clockMs.getAsLong();
  }

  void onDirectAnswer(long sentMs) {
    route.onDirectAnswer(nowMs() - sentMs);
  }

  void onPeerAnswer(Peer peer, boolean first, boolean isCutOff) {
    order.onAnswered(peer);
    if (!first) {
      return;
    }
    listener.onRelayed();
    if (isCutOff && route.onPeerAnswer(nowMs())) {
      listener.onCutOff(peer);
      activePolls.forEach(HedgedStoreCall::askPeers);
    }
  }

  void onPeerFailed(Peer peer) {
    order.onFailed(peer, nowMs());
  }

  void onPeersFailed() {
    listener.onPeersFailed(route.onPeersFailed(nowMs()));
  }

  /** Builds a relayed store. */
  public static final class Builder {
    private final RowStore direct;
    private final PeerSelector order;
    private final Timers timers;
    private final Listener listener;
    private OlderTables olderTables = (format, table, range) -> Optional.empty();
    private LongSupplier clockMs = () -> System.nanoTime() / 1_000_000;

    private Builder(RowStore direct, PeerSelector order, Timers timers, Listener listener) {
      this.direct = direct;
      this.order = order;
      this.timers = timers;
      this.listener = listener;
    }

    /** Sets how nodes of older formats name the tables; without it, they are not asked. */
    public Builder olderTables(OlderTables value) {
      olderTables = value;
      return this;
    }

    /** Sets the clock, in milliseconds. */
    public Builder clockMs(LongSupplier value) {
      clockMs = value;
      return this;
    }

    /** Returns a store that reaches other nodes over the given connections. */
    public RelayedRowStore build(PeerConnectionPools peers) {
      return new RelayedRowStore(
          this,
          address -> PeerRowStore.of(peers, address),
          address -> PeerRowStore.ofOlder(peers, address));
    }

    RelayedRowStore build(Function<String, RowStore> peerStores) {
      return new RelayedRowStore(this, peerStores, peerStores);
    }
  }
}
