package dev.bambootray.soak.wire;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.standins.FreePorts;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How connections to the store end, over real sockets. */
@Timeout(StoreServerTest.LIMIT_S)
final class StoreServerTest {
  /** Only for a failing test not to wait for ever. */
  static final int LIMIT_S = 60;

  private static final int READ_TIMEOUT_MS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final BlockingQueue<CompletableFuture<ApiResponse>> calls = new LinkedBlockingQueue<>();
  private final StoreServer server =
      StoreServer.start(
          loop,
          FreePorts.next(),
          request -> {
            CompletableFuture<ApiResponse> answer = new CompletableFuture<>();
            calls.add(answer);
            return PendingResponse.of(answer, response -> response);
          },
          1);

  @AfterEach
  void end() {
    server.close();
    group.shutdownGracefully();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(Documents.HOST, server.port());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  /** Sends a call and returns its answer once it has arrived at the store. */
  private CompletableFuture<ApiResponse> call(Socket socket)
      throws IOException, InterruptedException {
    socket
        .getOutputStream()
        .write("GET /api/rows-feed?table=t HTTP/1.1\r\nHost: s\r\n\r\n".getBytes(UTF_8));
    return calls.take();
  }

  private void answer(CompletableFuture<ApiResponse> call) {
    loop.submit(() -> call.complete(ApiResponse.json(200, Json.object()))).syncUninterruptibly();
  }

  private void onLoop(Runnable action) {
    loop.submit(action).syncUninterruptibly();
  }

  private void listenAgain() {
    Future<?> bound = CompletableFuture.supplyAsync(server::listenAgain, loop).join();
    var unusedBound = bound.syncUninterruptibly();
  }

  /** Connects until it is refused; {@link StoreServer#end} tells why it may not be at first. */
  private void awaitRefusal() throws IOException {
    while (true) {
      try (Socket accepted = connect()) {
        onLoop(() -> {}); // The loop has a turn in which it closes the listener.
      } catch (ConnectException e) {
        return;
      }
    }
  }

  @Test
  void endClosesWaitingCallsWithoutAReset() throws IOException, InterruptedException {
    try (Socket waiting = connect();
        Socket other = connect()) {
      CompletableFuture<ApiResponse> call = call(waiting);
      answer(call(other));
      assertEquals('H', other.getInputStream().read());
      onLoop(server::end);
      assertEquals(-1, waiting.getInputStream().read());
      // The rest of the answer, and then the end; a reset would throw.
      String rest = new String(other.getInputStream().readAllBytes(), UTF_8);
      assertEquals("TTP/1.1 200 OK", rest.substring(0, 14));
      onLoop(() -> {}); // The handlers of closed connections have run before this.
      assertTrue(call.isCancelled());
    }
  }

  @Test
  void listensAgainOnItsPortWhenTheLastFaultHasEnded() throws IOException, InterruptedException {
    try (Socket before = connect()) {
      call(before);
      onLoop(server::end);
      onLoop(server::end);
      assertEquals(-1, before.getInputStream().read());
      listenAgain();
      assertTrue(server.isDown());
      awaitRefusal();
      listenAgain();
      try (Socket after = connect()) {
        answer(call(after));
        assertEquals('H', after.getInputStream().read());
      }
    }
  }

  @Test
  void listensAfterAFaultThatBeganAsTheOneBeforeEnded() throws IOException, InterruptedException {
    onLoop(server::end);
    onLoop(
        () -> {
          var unusedBound = server.listenAgain();
          server.end();
        });
    awaitRefusal();
    listenAgain();
    try (Socket socket = connect()) {
      answer(call(socket));
      assertEquals('H', socket.getInputStream().read());
    }
  }

  @Test
  void closesAfterAnAnswerOnlyDuringTheFault() throws IOException, InterruptedException {
    onLoop(server::beginToCloseAfterAnswers);
    try (Socket socket = connect()) {
      answer(call(socket));
      String text = new String(socket.getInputStream().readAllBytes(), UTF_8);
      assertEquals("HTTP/1.1 200 OK", text.substring(0, 15));
    }
    onLoop(server::keepAfterAnswers);
    try (Socket socket = connect()) {
      answer(call(socket));
      assertEquals('H', socket.getInputStream().read());
      answer(call(socket));
      assertEquals('T', socket.getInputStream().read());
    }
  }
}
