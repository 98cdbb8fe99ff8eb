package dev.bambootray.adapters.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.HttpApiServer;
import dev.bambootray.adapters.http.HttpLimits;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.adapters.httpclient.ConnectionPool;
import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.adapters.httpclient.PeerConnectionPools;
import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.JobHintSender.Hint;
import dev.bambootray.ports.RowStore;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests calls that one node makes through another, over loopback. */
final class RelayRouterTest {
  private static final HttpLimits LIMITS = HttpLimits.defaults().withBodyBytes(2 * 1024 * 1024);
  private static final Row ROW = new Row("jobs", "k", "hi".getBytes(UTF_8), 7, false);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AnsweringStore answers = new AnsweringStore();
  private final AnsweringStore older = new AnsweringStore();
  private final List<Hint> receivedHints = new CopyOnWriteArrayList<>();
  private final HttpApiServer server =
      HttpApiServer.start(
          group, "127.0.0.1", 0, new RelayRouter(answers, older, receivedHints::add), LIMITS);
  private final PeerConnectionPools peers =
      PeerConnectionPools.create(group.next(), new ConnectionPool.Limits(0, 2, 4, 1_000_000));
  private final String address = "127.0.0.1:" + server.port();
  private final PeerRowStore store = PeerRowStore.of(peers, address);

  @AfterEach
  void close() {
    server.close();
    group.shutdownGracefully();
  }

  private CommitOutcome commit() {
    return store
        .commit(
            List.of(new RowCondition("jobs", "k", 3)),
            List.of(
                new RowChange("jobs", "k", "hi".getBytes(UTF_8)),
                new RowChange("jobs", "old", null)),
            5_000)
        .join();
  }

  /** A store that gives prepared answers. */
  private static final class AnsweringStore implements RowStore {
    private CommitOutcome outcome = new CommitOutcome.Committed(9);
    private ChangePage changes = new ChangePage.HistoryLost();
    private List<RowChange> written = List.of();

    @Override
    public CompletableFuture<CommitOutcome> commit(
        List<RowCondition> conditions, List<RowChange> rows, long timeoutMs) {
      written = rows;
      return CompletableFuture.completedFuture(outcome);
    }

    @Override
    public CompletableFuture<Either<dev.bambootray.core.store.StoreError, RowReadPage>> read(
        String table, String from, String to, int limit) {
      return CompletableFuture.completedFuture(
          Either.right(new RowReadPage(List.of(ROW), true, limit)));
    }

    @Override
    public CompletableFuture<ChangePage> changes(String table, long after, long waitMs) {
      return CompletableFuture.completedFuture(changes);
    }
  }

  @Nested
  final class Commits {
    @Test
    void carriesRowsOver() {
      assertEquals(new CommitOutcome.Committed(9), commit());
      assertArrayEquals("hi".getBytes(UTF_8), answers.written.get(0).value());
      assertEquals(null, answers.written.get(1).value());
    }

    @Test
    void carriesTheLargestTransactionOver() {
      RowChange large = new RowChange("records", "k", new byte[1_000_000]);
      assertEquals(
          new CommitOutcome.Committed(9), store.commit(List.of(), List.of(large), 5_000).join());
      assertEquals(1_000_000, answers.written.get(0).value().length);
    }

    @Test
    void carriesEachOutcomeOver() {
      answers.outcome = new CommitOutcome.Conflict(List.of(ROW));
      CommitOutcome.Conflict conflict = assertInstanceOf(CommitOutcome.Conflict.class, commit());
      assertEquals(7, conflict.rows().get(0).version());
      answers.outcome = new CommitOutcome.Refused("busy");
      assertEquals(new CommitOutcome.Refused("busy"), commit());
      answers.outcome = new CommitOutcome.Unknown("no answer");
      assertInstanceOf(CommitOutcome.Unknown.class, commit());
    }

    @Test
    void isRefusedIfNothingListens() {
      PeerRowStore gone = PeerRowStore.of(peers, "127.0.0.1:1");
      assertInstanceOf(
          CommitOutcome.Refused.class, gone.commit(List.of(), List.of(), 5_000).join());
    }
  }

  /** Calls of builds before format 3, which leave the partition of a row to the relaying node. */
  @Nested
  final class OlderBuilds {
    @Test
    void areServedByTheStoreForThem() {
      older.outcome = new CommitOutcome.Committed(4);
      PeerRowStore caller = PeerRowStore.ofOlder(peers, address);
      assertEquals(
          new CommitOutcome.Committed(4), caller.commit(List.of(), List.of(), 5_000).join());
      assertEquals(List.of(), answers.written);
      assertTrue(caller.read("jobs", "k", "k\u0001", 1).join().isRight());
    }

    @Test
    void refuseCallsWhoseRowsTheyWouldMisplace() {
      HttpApiServer olderNode =
          HttpApiServer.start(
              group,
              "127.0.0.1",
              0,
              request -> PendingResponse.now(ApiResponse.text(404, "text/plain", "no such call")),
              LIMITS);
      PeerRowStore caller = PeerRowStore.of(peers, "127.0.0.1:" + olderNode.port());
      assertInstanceOf(
          CommitOutcome.Refused.class, caller.commit(List.of(), List.of(), 5_000).join());
      assertTrue(caller.read("jobs", "k", "k\u0001", 1).join().isLeft());
      olderNode.close();
    }
  }

  @Nested
  final class Readings {
    @Test
    void carriesAPageOver() {
      RowReadPage page = store.read("jobs", "", "", 12).join().get();
      assertArrayEquals(ROW.value(), page.rows().get(0).value());
      assertTrue(page.more());
      assertEquals(12, page.version());
    }

    @Test
    void carriesChangesOver() {
      assertInstanceOf(ChangePage.HistoryLost.class, store.changes("jobs", 1, 10).join());
      answers.changes = new ChangePage.Changes(List.of(ROW), 8);
      ChangePage.Changes changes =
          assertInstanceOf(ChangePage.Changes.class, store.changes("jobs", 1, 10).join());
      assertEquals(8, changes.version());
      answers.changes = new ChangePage.Failed("unavailable");
      assertEquals(new ChangePage.Failed("unavailable"), store.changes("jobs", 1, 10).join());
    }
  }

  @Nested
  final class Hints {
    @Test
    void reachTheNodeThatTheyAreFor() {
      Hint hint = new Hint("j", true);
      int status =
          assertInstanceOf(
                  Answered.class,
                  peers
                      .send(
                          address,
                          Request.post(RelayProtocol.HINT_PATH, RelayProtocol.write(hint)),
                          5_000)
                      .join())
              .status();
      assertEquals(200, status);
      assertEquals(List.of(hint), receivedHints);
    }
  }

  @Nested
  final class MalformedCalls {
    private int status(String path, String body) {
      return assertInstanceOf(
              Answered.class,
              peers.send(address, Request.post(path, body.getBytes(UTF_8)), 5_000).join())
          .status();
    }

    @Test
    void areRefusedAndTheNodeGoesOn() {
      assertEquals(400, status(RelayProtocol.COMMIT_PATH, "{"));
      assertEquals(400, status(RelayProtocol.COMMIT_PATH, "{}"));
      assertEquals(400, status(RelayProtocol.READ_PATH, "null"));
      assertEquals(400, status(RelayProtocol.CHANGES_PATH, "{\"table\":null}"));
      assertEquals(400, status(RelayProtocol.HINT_PATH, "{}"));
      assertEquals(404, status("/other", "{}"));
      assertEquals(new CommitOutcome.Committed(9), commit());
    }
  }
}
