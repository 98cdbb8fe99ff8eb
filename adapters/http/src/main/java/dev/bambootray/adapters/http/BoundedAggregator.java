package dev.bambootray.adapters.http;

import dev.bambootray.core.model.RequestStep;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/** Collects the body of a request and has one that is too large refused in its turn. */
final class BoundedAggregator extends HttpObjectAggregator {
  private final int maxBytes;
  private final ConnectionHandler handler;

  BoundedAggregator(int maxBytes, ConnectionHandler handler) {
    super(maxBytes);
    this.maxBytes = maxBytes;
    this.handler = handler;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    handler.refuse(
        Problems.local(
            413, RequestStep.ADMISSION, "expected a body of at most " + maxBytes + " bytes"));
  }

  /** Leaves refusals to the handler and never writes between an earlier request and its answer. */
  @Override
  protected @Nullable Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    boolean tooLarge = HttpUtil.getContentLength(start, 0L) > maxContentLength;
    return tooLarge || handler.isBusy()
        ? null
        : super.newContinueResponse(start, maxContentLength, pipeline);
  }
}
