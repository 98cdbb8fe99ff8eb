package dev.bambootray.adapters.peer;

import dev.bambootray.core.message.PeerMessage;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import io.vavr.control.Either;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Reads messages from one accepted connection and closes it at the first malformed frame. */
final class IncomingHandler extends SimpleChannelInboundHandler<byte[]> {
  private final MessageCodec codec;
  private final PeerTraffic traffic;
  private final Consumer<PeerMessage> receiver;
  private boolean closing;

  IncomingHandler(MessageCodec codec, PeerTraffic traffic, Consumer<PeerMessage> receiver) {
    this.codec = codec;
    this.traffic = traffic;
    this.receiver = receiver;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, byte[] frame) {
    if (closing) {
      return;
    }
    if (frame.length > 0 && Byte.toUnsignedInt(frame[0]) > MessageCodec.VERSION) {
      refuseVersion(context, Byte.toUnsignedInt(frame[0]));
      return;
    }
    Either<String, PeerMessage> message = codec.decode(frame);
    if (message.isLeft()) {
      close(context, message.getLeft());
      return;
    }
    traffic.received(message.get().sender(), frame.length + Frames.LENGTH_BYTES);
    receiver.accept(message.get());
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      close(context, "idle");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    close(context, String.valueOf(cause.getMessage()));
  }

  private void refuseVersion(ChannelHandlerContext context, int version) {
    closing = true;
    Logger.warn("peer: refused version {} from {}", version, context.channel().remoteAddress());
    var unused =
        context
            .writeAndFlush(Unpooled.wrappedBuffer(MessageCodec.versionRefused()))
            .addListener(ChannelFutureListener.CLOSE);
  }

  private void close(ChannelHandlerContext context, String reason) {
    closing = true;
    Logger.debug("peer: closed {}: {}", context.channel().remoteAddress(), reason);
    var unused = context.close();
  }
}
