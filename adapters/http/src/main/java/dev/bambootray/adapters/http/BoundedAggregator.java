package dev.bambootray.adapters.http;

import dev.bambootray.core.model.Step;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Collects the body of a request and answers one that is too large with a problem. */
final class BoundedAggregator extends HttpObjectAggregator {
  private final int maxBytes;

  BoundedAggregator(int maxBytes) {
    super(maxBytes);
    this.maxBytes = maxBytes;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    ResponseWriter.writeAndClose(
        context,
        Problems.local(413, Step.ADMISSION, "expected a body of at most " + maxBytes + " bytes"));
  }
}
