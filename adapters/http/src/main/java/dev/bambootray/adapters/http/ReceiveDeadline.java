package dev.bambootray.adapters.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Closes a connection whose request does not arrive whole in time once its headers arrived. */
final class ReceiveDeadline extends ChannelInboundHandlerAdapter {
  private final long receiveMs;
  private @Nullable Future<?> timer;

  ReceiveDeadline(long receiveMs) {
    this.receiveMs = receiveMs;
  }

  /** Returns whether a request has begun to arrive and is not whole yet. */
  boolean isReceiving() {
    return timer != null;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest) {
      cancel();
      timer =
          context
              .executor()
              .schedule(
                  () -> {
                    var unused = context.close();
                  },
                  receiveMs,
                  TimeUnit.MILLISECONDS);
    }
    if (message instanceof LastHttpContent) {
      cancel();
    }
    context.fireChannelRead(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancel();
    context.fireChannelInactive();
  }

  private void cancel() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
