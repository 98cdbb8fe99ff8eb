package dev.bambootray.adapters.httpclient;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.NoReply;
import dev.bambootray.adapters.httpclient.HttpExchange.NotSent;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.adapters.httpclient.ManualPeer.Call;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a wait ends, and that the next one is sent, whatever becomes of its connection. */
final class CallsThatEndTest {
  private static final long TIMEOUT_MS = 60_000;
  private static final long SHORT_TIMEOUT_MS = 50;

  private final ManualPeer peer = new ManualPeer();
  private final ConnectionPool pool = pool(peer.port());

  private ConnectionPool pool(int port) {
    return new ConnectionPool(
        peer.loop(), "127.0.0.1", port, new ConnectionPool.Limits(0, 1, 2, 1_024), LinkDelay.NONE);
  }

  @AfterEach
  void close() {
    pool.close();
    peer.close();
  }

  private CompletableFuture<Outcome> startWait(long timeoutMs) {
    return pool.send(Request.of("GET", "/", new byte[0], Lane.POLL), timeoutMs);
  }

  private void assertNextWaitIsAnswered() throws InterruptedException {
    CompletableFuture<Outcome> next = startWait(TIMEOUT_MS);
    peer.nextCall().answer();
    assertInstanceOf(Answered.class, next.join());
  }

  @Test
  void ifThePeerClosesTheConnection() throws InterruptedException {
    CompletableFuture<Outcome> wait = startWait(TIMEOUT_MS);
    peer.nextCall().channel().close().syncUninterruptibly();
    assertEquals(new NoReply("the peer closed the connection"), wait.join());
    assertNextWaitIsAnswered();
  }

  @Test
  void ifThePeerClosesTheIdleConnectionOfTheLastWait() throws InterruptedException {
    CompletableFuture<Outcome> wait = startWait(TIMEOUT_MS);
    Call call = peer.nextCall();
    call.answerAndClose();
    assertInstanceOf(Answered.class, wait.join());
    call.channel().close().syncUninterruptibly();
    assertNextWaitIsAnswered();
  }

  @Test
  void ifThePeerNeverAnswers() throws InterruptedException {
    CompletableFuture<Outcome> wait = startWait(SHORT_TIMEOUT_MS);
    assertInstanceOf(NoReply.class, wait.join());
    peer.nextCall();
    assertNextWaitIsAnswered();
  }

  @Test
  void ifAllConnectionsForWaitsAreInUse() throws InterruptedException {
    CompletableFuture<Outcome> first = startWait(TIMEOUT_MS);
    Call call = peer.nextCall();
    assertInstanceOf(NotSent.class, startWait(SHORT_TIMEOUT_MS).join());
    call.answer();
    assertInstanceOf(Answered.class, first.join());
    assertNextWaitIsAnswered();
  }

  @Test
  void ifNoConnectionCanBeMade() {
    ManualPeer gone = new ManualPeer();
    int port = gone.port();
    gone.closeListener();
    ConnectionPool toGone = pool(port);
    CompletableFuture<Outcome> wait =
        toGone.send(Request.of("GET", "/", new byte[0], Lane.POLL), TIMEOUT_MS);
    // The listener may still accept a connection while it closes, and then resets it.
    assertFalse(wait.join() instanceof Answered);
    toGone.close();
    gone.close();
  }
}
