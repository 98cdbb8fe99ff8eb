package dev.bambootray.adapters.relay;

import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.NotSent;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.adapters.httpclient.PeerConnectionPools;
import dev.bambootray.adapters.relay.RelayProtocol.ChangesCall;
import dev.bambootray.adapters.relay.RelayProtocol.CommitCall;
import dev.bambootray.adapters.relay.RelayProtocol.ReadCall;
import dev.bambootray.adapters.relay.RelayProtocol.Reply;
import dev.bambootray.adapters.relay.RelayProtocol.Result;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Calls the store through another node. */
final class PeerRowStore implements RowStore {
  private static final int OK = 200;
  private static final int NO_SUCH_CALL = 404;

  /**
   * Time limit of a call through another node; it leaves time to try the next node if one does not
   * answer.
   */
  private static final long CALL_TIMEOUT_MS = 600;

  /** Subtracted from the other node's time limit, for the round trip between regions. */
  private static final long NETWORK_MARGIN_MS = 100;

  /** Added to the requested wait for changes to get the timeout of the call. */
  private static final long CHANGES_MARGIN_MS = 900;

  private final PeerConnectionPools peers;
  private final String address;

  private final String commitPath;
  private final String readPath;

  private PeerRowStore(
      PeerConnectionPools peers, String address, String commitPath, String readPath) {
    this.peers = peers;
    this.address = address;
    this.commitPath = commitPath;
    this.readPath = readPath;
  }

  /** Returns the store through a node of this format; a node of an older one refuses its calls. */
  static PeerRowStore of(PeerConnectionPools peers, String address) {
    return new PeerRowStore(peers, address, RelayProtocol.COMMIT_PATH, RelayProtocol.READ_PATH);
  }

  /** Returns the store through a node that chooses the partition of a row itself. */
  static PeerRowStore ofOlder(PeerConnectionPools peers, String address) {
    return new PeerRowStore(
        peers, address, RelayProtocol.OLDER_COMMIT_PATH, RelayProtocol.OLDER_READ_PATH);
  }

  @Override
  public CompletableFuture<CommitOutcome> commit(
      List<RowCondition> conditions, List<RowChange> changes, long timeoutMs) {
    long callMs = Math.min(timeoutMs, CALL_TIMEOUT_MS);
    CommitCall call =
        new CommitCall(
            conditions, changes, Math.max(NETWORK_MARGIN_MS, callMs - NETWORK_MARGIN_MS));
    return send(commitPath, call, Lane.COMMAND, callMs).thenApply(PeerRowStore::commitOutcome);
  }

  @Override
  public CompletableFuture<Either<StoreError, RowReadPage>> read(
      String table, String from, String to, int limit) {
    return send(readPath, new ReadCall(table, from, to, limit), Lane.COMMAND, CALL_TIMEOUT_MS)
        .thenApply(this::page);
  }

  @Override
  public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
    return send(
            RelayProtocol.CHANGES_PATH,
            new ChangesCall(table, after, waitMs),
            Lane.POLL,
            waitMs + CHANGES_MARGIN_MS)
        .thenApply(PeerRowStore::changePage);
  }

  private CompletableFuture<Outcome> send(String path, Object call, Lane lane, long timeoutMs) {
    return peers.send(
        address, Request.of("POST", path, RelayProtocol.write(call), lane), timeoutMs);
  }

  private static CommitOutcome commitOutcome(Outcome outcome) {
    if (outcome instanceof NotSent notSent) {
      return new CommitOutcome.Refused(notSent.reason());
    }
    if (outcome instanceof Answered answered && answered.status() == NO_SUCH_CALL) {
      return new CommitOutcome.Refused("the node reads an older format only");
    }
    Either<String, Reply> reply = reply(outcome);
    if (reply.isLeft()) {
      return new CommitOutcome.Unknown(reply.getLeft());
    }
    return switch (reply.get().result()) {
      case COMMITTED -> new CommitOutcome.Committed(reply.get().version());
      case CONFLICT -> new CommitOutcome.Conflict(reply.get().rows());
      case REFUSED -> new CommitOutcome.Refused(reply.get().detail());
      default -> new CommitOutcome.Unknown(reply.get().detail());
    };
  }

  private Either<StoreError, RowReadPage> page(Outcome outcome) {
    Either<String, Reply> reply = reply(outcome);
    if (reply.isRight() && reply.get().result() == Result.PAGE) {
      Reply page = reply.get();
      return Either.right(new RowReadPage(page.rows(), page.more(), page.version()));
    }
    String detail = reply.fold(error -> error, Reply::detail);
    return Either.left(new StoreError(address, detail, false));
  }

  private static ChangePage changePage(Outcome outcome) {
    Either<String, Reply> reply = reply(outcome);
    if (reply.isLeft()) {
      return new ChangePage.Failed(reply.getLeft());
    }
    return switch (reply.get().result()) {
      case CHANGES -> new ChangePage.Changes(reply.get().rows(), reply.get().version());
      case HISTORY_LOST -> new ChangePage.HistoryLost();
      default -> new ChangePage.Failed(reply.get().detail());
    };
  }

  private static Either<String, Reply> reply(Outcome outcome) {
    if (outcome instanceof Answered answered) {
      return answered.status() == OK
          ? RelayProtocol.read(answered.body().bytes(), Reply.class)
          : Either.left("status " + answered.status());
    }
    return Either.left(outcome.toString());
  }
}
