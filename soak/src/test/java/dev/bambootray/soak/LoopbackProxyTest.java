package dev.bambootray.soak;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.adapters.http.ApiResponse;
import dev.bambootray.adapters.http.PendingResponse;
import dev.bambootray.soak.wire.Documents;
import dev.bambootray.soak.wire.StoreServer;
import dev.bambootray.standins.FreePorts;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class LoopbackProxyTest {
  private static final int READ_TIMEOUT_MS = 20_000;

  @Test
  void endOfTheStoreReachesWaitingCallsAsACloseByThePeer()
      throws IOException, InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    CountDownLatch arrived = new CountDownLatch(1);
    StoreServer server =
        StoreServer.start(
            loop,
            FreePorts.next(),
            request -> {
              arrived.countDown();
              return PendingResponse.of(new CompletableFuture<ApiResponse>(), answer -> answer);
            },
            1);
    try (LoopbackProxy proxy = LoopbackProxy.start(loop, server.port());
        Socket node = new Socket(Documents.HOST, proxy.port())) {
      node.setSoTimeout(READ_TIMEOUT_MS);
      node.getOutputStream().write("GET / HTTP/1.1\r\nHost: s\r\n\r\n".getBytes(UTF_8));
      arrived.await();
      loop.submit(server::end).syncUninterruptibly();
      assertEquals(-1, node.getInputStream().read(), "a reset would throw");
    } finally {
      group.shutdownGracefully();
    }
  }
}
