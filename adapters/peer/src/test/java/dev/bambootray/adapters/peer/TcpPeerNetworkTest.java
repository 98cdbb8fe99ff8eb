package dev.bambootray.adapters.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.adapters.tls.ReloadableTls;
import dev.bambootray.adapters.tls.TlsFiles;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.ports.PeerNetwork.PeerAddress;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Drives networks over loopback; the timeout only ends a test that would hang. */
@Timeout(60)
final class TcpPeerNetworkTest {
  private static final Path KEYS = Path.of("../tls/src/test/resources");
  private static final NodeId SENDER = NodeId.of("n1");

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<TcpPeerNetwork> networks = new ArrayList<>();

  @AfterEach
  void stop() {
    networks.forEach(TcpPeerNetwork::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Nested
  final class Delivery {
    @Test
    void messagesArriveInOrderAndAreCounted() throws InterruptedException {
      AtomicLong sentBytes = new AtomicLong();
      AtomicLong receivedBytes = new AtomicLong();
      BlockingQueue<PeerMessage> inbox = new LinkedBlockingQueue<>();
      TcpPeerNetwork receiver = open(builder().traffic(counting(sentBytes, receivedBytes)), inbox);
      TcpPeerNetwork sender = open(builder().traffic(counting(sentBytes, receivedBytes)), null);
      for (int i = 0; i < 1_000; i++) {
        sender.send(address(receiver), confirm(i));
      }
      for (int i = 0; i < 1_000; i++) {
        assertEquals(confirm(i), inbox.take());
      }
      assertEquals(sentBytes.get(), receivedBytes.get());
    }

    @Test
    void messagesArriveAgainAfterTheReceiverRestarts() throws InterruptedException {
      BlockingQueue<PeerMessage> first = new LinkedBlockingQueue<>();
      TcpPeerNetwork receiver = open(builder(), first);
      TcpPeerNetwork sender = open(builder(), null);
      PeerAddress address = address(receiver);
      sender.send(address, confirm(1));
      assertEquals(confirm(1), first.take());
      receiver.close();
      BlockingQueue<PeerMessage> second = new LinkedBlockingQueue<>();
      open(reopened(address.port()), second);
      sendUntilReceived(sender, address, second);
    }

    @Test
    void aResetUsesAFreshConnection() throws Exception {
      try (ServerSocket silent = listen()) {
        PeerAddress address = new PeerAddress("127.0.0.1", silent.getLocalPort());
        TcpPeerNetwork sender = open(builder(), null);
        sender.send(address, confirm(1));
        try (Socket first = silent.accept()) {
          DataInputStream firstIn = new DataInputStream(first.getInputStream());
          assertArrayEquals(frame(confirm(1)), firstIn.readNBytes(firstIn.readInt()));
          sender.reset(address);
          assertEquals(-1, firstIn.read());
          sender.send(address, confirm(2));
          try (Socket second = silent.accept()) {
            DataInputStream in = new DataInputStream(second.getInputStream());
            assertArrayEquals(frame(confirm(2)), in.readNBytes(in.readInt()));
          }
        }
      }
    }

    @Test
    void aPeerThatDoesNotReadCostsABoundedBuffer() throws Exception {
      try (ServerSocket silent = listen()) {
        PeerAddress address = new PeerAddress("127.0.0.1", silent.getLocalPort());
        CompletableFuture<Integer> dropped = new CompletableFuture<>();
        TcpPeerNetwork sender = open(builder().traffic(droppingInto(dropped)), null);
        String text = "x".repeat(100_000);
        while (!dropped.isDone()) {
          sender.send(address, new PeerMessage.ConfigurationOffer(SENDER, 1, text));
        }
        assertTrue(dropped.get() > 100_000);
      }
    }

    @Test
    void messagesToAPeerThatDoesNotListenAreDropped() throws Exception {
      int port;
      try (ServerSocket closed = listen()) {
        port = closed.getLocalPort();
      }
      CompletableFuture<Integer> dropped = new CompletableFuture<>();
      TcpPeerNetwork sender = open(builder().traffic(droppingInto(dropped)), null);
      sender.send(new PeerAddress("127.0.0.1", port), confirm(1));
      assertEquals(frame(confirm(1)).length, dropped.get());
    }
  }

  @Nested
  final class BadInput {
    @Test
    void malformedFramesCloseOnlyTheirOwnConnection() throws Exception {
      BlockingQueue<PeerMessage> inbox = new LinkedBlockingQueue<>();
      TcpPeerNetwork receiver = open(builder(), inbox);
      TcpPeerNetwork sender = open(builder(), null);
      sender.send(address(receiver), confirm(0));
      assertEquals(confirm(0), inbox.take());
      Random random = new Random(21);
      for (int i = 1; i <= 200; i++) {
        byte[] junk = new byte[1 + random.nextInt(200)];
        random.nextBytes(junk);
        junk[0] = (byte) 0x01;
        assertEquals(0, replyTo(receiver, junk.length, junk).length);
        sender.send(address(receiver), confirm(i));
        assertEquals(confirm(i), inbox.take());
      }
    }

    @Test
    void anOversizedFrameIsRefusedByItsLength() throws Exception {
      TcpPeerNetwork receiver = open(builder(), new LinkedBlockingQueue<>());
      int tooLong = MessageCodec.MAX_FRAME_BYTES + 1;
      assertEquals(0, replyTo(receiver, tooLong, new byte[0]).length);
      assertEquals(0, replyTo(receiver, -1, new byte[0]).length);
    }

    @Test
    void aLaterVersionIsRefusedWithAFrameThatSaysSo() throws Exception {
      TcpPeerNetwork receiver = open(builder(), new LinkedBlockingQueue<>());
      byte[] later = frame(confirm(1));
      later[0] = MessageCodec.VERSION + 1;
      assertArrayEquals(
          new byte[] {0, 0, 0, 2, MessageCodec.VERSION, MessageCodec.TAG_VERSION_REFUSED},
          replyTo(receiver, later.length, later));
    }
  }

  @Nested
  final class Authentication {
    @Test
    void nodesOfTheSameAuthorityReachEachOther() throws InterruptedException {
      BlockingQueue<PeerMessage> inbox = new LinkedBlockingQueue<>();
      TcpPeerNetwork receiver = open(builder().tls(tls("node-one", "ca-one")), inbox);
      TcpPeerNetwork sender = open(builder().tls(tls("node-two", "ca-one")), null);
      sender.send(address(receiver), confirm(1));
      assertEquals(confirm(1), inbox.take());
    }

    @Test
    void aNodeOfAnotherAuthorityIsNotHeard() throws InterruptedException {
      BlockingQueue<PeerMessage> inbox = new LinkedBlockingQueue<>();
      TcpPeerNetwork receiver = open(builder().tls(tls("node-one", "ca-one")), inbox);
      // The stranger trusts the receiver, so that only its own certificate can be the obstacle.
      TcpPeerNetwork stranger = open(builder().tls(tls("stranger", "ca-one")), null);
      TcpPeerNetwork plain = open(builder(), null);
      TcpPeerNetwork sender = open(builder().tls(tls("node-two", "ca-one")), null);
      for (int i = 0; i < 20; i++) {
        stranger.send(address(receiver), confirm(100));
        plain.send(address(receiver), confirm(200));
        sender.send(address(receiver), confirm(i));
        assertEquals(confirm(i), inbox.take());
      }
      assertEquals(0, inbox.size());
    }
  }

  private TcpPeerNetwork.Builder builder() {
    return TcpPeerNetwork.builder(group, "127.0.0.1", 0);
  }

  /**
   * Binds a port that was just closed. The JDK frees it only when the selector has dropped the old
   * listener, which is shortly after its close is reported.
   */
  private TcpPeerNetwork reopened(int port) {
    while (true) {
      try {
        return TcpPeerNetwork.builder(group, "127.0.0.1", port).build();
      } catch (Exception e) {
        // Netty throws the checked exception undeclared, so it cannot be named in the clause.
        assertInstanceOf(BindException.class, e);
      }
    }
  }

  private TcpPeerNetwork open(TcpPeerNetwork.Builder builder, BlockingQueue<PeerMessage> inbox) {
    return open(builder.build(), inbox);
  }

  private TcpPeerNetwork open(TcpPeerNetwork network, BlockingQueue<PeerMessage> inbox) {
    networks.add(network);
    network.start(inbox == null ? message -> {} : inbox::add);
    return network;
  }

  private static void sendUntilReceived(
      TcpPeerNetwork sender, PeerAddress address, BlockingQueue<PeerMessage> inbox)
      throws InterruptedException {
    // Delivery is best effort while the connection is replaced, so the message is repeated.
    PeerMessage received = null;
    while (received == null) {
      sender.send(address, confirm(2));
      received = inbox.poll(20, TimeUnit.MILLISECONDS);
    }
    assertEquals(confirm(2), received);
  }

  private static byte[] replyTo(TcpPeerNetwork receiver, int length, byte[] content)
      throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), receiver.port())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(length);
      out.write(content);
      out.flush();
      return socket.getInputStream().readAllBytes();
    }
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
  }

  private static ReloadableTls tls(String node, String authority) {
    return ReloadableTls.load(
            new TlsFiles(
                KEYS.resolve(node + ".pem"),
                KEYS.resolve(node + ".key"),
                KEYS.resolve(authority + ".pem")))
        .get();
  }

  private static PeerAddress address(TcpPeerNetwork network) {
    return new PeerAddress("127.0.0.1", network.port());
  }

  private static PeerMessage confirm(long version) {
    return new PeerMessage.ConfigurationConfirm(SENDER, version);
  }

  private static byte[] frame(PeerMessage message) {
    return MessageCodec.create().encode(message).get();
  }

  private static PeerTraffic counting(AtomicLong sentBytes, AtomicLong receivedBytes) {
    return new PeerTraffic() {
      @Override
      public void sent(PeerAddress peer, int sizeBytes) {
        sentBytes.addAndGet(sizeBytes);
      }

      @Override
      public void received(NodeId peer, int sizeBytes) {
        receivedBytes.addAndGet(sizeBytes);
      }

      @Override
      public void dropped(PeerAddress peer, int sizeBytes) {}
    };
  }

  private static PeerTraffic droppingInto(CompletableFuture<Integer> dropped) {
    return new PeerTraffic() {
      @Override
      public void sent(PeerAddress peer, int sizeBytes) {}

      @Override
      public void received(NodeId peer, int sizeBytes) {}

      @Override
      public void dropped(PeerAddress peer, int sizeBytes) {
        dropped.complete(sizeBytes);
      }
    };
  }
}
