package dev.bambootray.ports;

import dev.bambootray.core.message.PeerMessage;
import java.util.function.Consumer;

/** Sends messages to other nodes. Delivery is best effort and in order on one connection. */
public interface PeerNetwork extends AutoCloseable {

  /**
   * Sends a message.
   *
   * @param address where the receiver listens
   * @param message the message
   */
  void send(PeerAddress address, PeerMessage message);

  /** Drops the connection to a peer, so that the next message uses a fresh one. */
  void reset(PeerAddress address);

  /** Starts listening; the receiver is called on a traffic thread. */
  void start(Consumer<PeerMessage> receiver);

  @Override
  void close();

  /**
   * Address of a peer.
   *
   * @param host its IP address
   * @param port its TCP port
   */
  record PeerAddress(String host, int port) {}
}
