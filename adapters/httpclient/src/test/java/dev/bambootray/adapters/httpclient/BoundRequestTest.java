package dev.bambootray.adapters.httpclient;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.NotSent;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.adapters.httpclient.ManualPeer.Call;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests requests that may be sent on one connection only. */
final class BoundRequestTest {
  private static final long TIMEOUT_MS = 60_000;

  private final ManualPeer peer = new ManualPeer();
  private final ConnectionPool pool =
      new ConnectionPool(
          peer.loop(),
          "127.0.0.1",
          peer.port(),
          new ConnectionPool.Limits(0, 1, 2, 1_024),
          LinkDelay.NONE);

  @AfterEach
  void close() {
    pool.close();
    peer.close();
  }

  private static Request request(Lane lane) {
    return Request.of("POST", "/", new byte[0], lane);
  }

  private CompletableFuture<Outcome> send(Request request) {
    return pool.send(request, TIMEOUT_MS);
  }

  private static long connection(CompletableFuture<Outcome> exchange) {
    return assertInstanceOf(Answered.class, exchange.join()).connection();
  }

  /** Sends a request and returns the connection over which it was answered. */
  private long call(Lane lane) throws InterruptedException {
    CompletableFuture<Outcome> exchange = send(request(lane));
    peer.nextCall().answer();
    return connection(exchange);
  }

  @Test
  void answersNameTheirConnection() throws InterruptedException {
    long first = call(Lane.COMMAND);
    assertEquals(first, call(Lane.COMMAND));
    CompletableFuture<Outcome> waiting = send(request(Lane.COMMAND));
    Call call = peer.nextCall();
    assertNotEquals(first, call(Lane.COMMAND));
    call.answer();
    assertEquals(first, connection(waiting));
  }

  @Nested
  final class OnAnIdleConnection {
    @Test
    void usesItRatherThanThatOfTheLastPoll() throws InterruptedException {
      CompletableFuture<Outcome> poll = send(request(Lane.POLL));
      Call pollCall = peer.nextCall();
      CompletableFuture<Outcome> command = send(request(Lane.COMMAND));
      Call commandCall = peer.nextCall();
      commandCall.answer();
      pollCall.answer();
      poll.join();
      CompletableFuture<Outcome> bound = send(request(Lane.POLL).onConnection(connection(command)));
      Call boundCall = peer.nextCall();
      assertEquals(commandCall.channel(), boundCall.channel());
      boundCall.answer();
      assertEquals(connection(command), connection(bound));
    }

    @Test
    void findsTheConnectionOfThePollThoughACommandWasSentSince() throws InterruptedException {
      long polled = call(Lane.POLL);
      CompletableFuture<Outcome> command = send(request(Lane.COMMAND));
      Call commandCall = peer.nextCall();
      CompletableFuture<Outcome> bound = send(request(Lane.POLL).onConnection(polled));
      peer.nextCall().answer();
      assertEquals(polled, connection(bound));
      commandCall.answer();
      assertNotEquals(polled, connection(command));
    }

    @Test
    void findsTheConnectionOfThePollThoughAllOthersAreInUse() throws InterruptedException {
      CompletableFuture<Outcome> poll = send(request(Lane.POLL));
      Call pollCall = peer.nextCall();
      CompletableFuture<Outcome> first = send(request(Lane.COMMAND));
      Call firstCall = peer.nextCall();
      CompletableFuture<Outcome> second = send(request(Lane.COMMAND));
      Call secondCall = peer.nextCall();
      pollCall.answer();
      CompletableFuture<Outcome> bound = send(request(Lane.POLL).onConnection(connection(poll)));
      peer.nextCall().answer();
      assertEquals(connection(poll), connection(bound));
      firstCall.answer();
      secondCall.answer();
      assertNotEquals(connection(first), connection(second));
    }
  }

  @Nested
  final class OnAnotherConnection {
    @Test
    void isNotSentIfTheConnectionIsClosed() throws InterruptedException {
      CompletableFuture<Outcome> last = send(request(Lane.POLL));
      peer.nextCall().answerAndClose();
      assertInstanceOf(
          NotSent.class, send(request(Lane.POLL).onConnection(connection(last))).join());
      assertFalse(peer.hasCalls());
    }

    @Test
    void isNotSentIfTheConnectionIsInUse() throws InterruptedException {
      long used = call(Lane.COMMAND);
      CompletableFuture<Outcome> command = send(request(Lane.COMMAND));
      Call commandCall = peer.nextCall();
      assertInstanceOf(NotSent.class, send(request(Lane.POLL).onConnection(used)).join());
      assertFalse(peer.hasCalls());
      commandCall.answer();
      assertEquals(used, connection(command));
    }

    @Test
    void isNotSentIfTheConnectionIsClosedWhileItWaitsForItsLane() throws InterruptedException {
      long closing = call(Lane.COMMAND);
      CompletableFuture<Outcome> poll = send(request(Lane.POLL));
      Call pollCall = peer.nextCall();
      // The poll has taken the only idle connection; another one is opened and bound to.
      long other = call(Lane.COMMAND);
      assertNotEquals(closing, other);
      CompletableFuture<Outcome> bound = send(request(Lane.POLL).onConnection(other));
      CompletableFuture<Outcome> command = send(request(Lane.COMMAND));
      peer.nextCall().answerAndClose();
      assertEquals(other, connection(command));
      pollCall.answer();
      assertEquals(closing, connection(poll));
      assertInstanceOf(NotSent.class, bound.join());
      assertFalse(peer.hasCalls());
    }
  }
}
