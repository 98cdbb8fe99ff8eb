package dev.bambootray.adapters.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Writes responses to a connection. */
final class ResponseWriter {
  private ResponseWriter() {}

  static ChannelFuture write(
      ChannelHandlerContext context, ApiResponse response, String traceparent, boolean keepAlive) {
    byte[] body = response.bodyBytes();
    var message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(body));
    message
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, response.contentType())
        .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    response.headers().forEach((name, value) -> message.headers().set(name, value));
    if (response.status() == 401) {
      message.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    if (!traceparent.isEmpty()) {
      message.headers().set("traceparent", traceparent);
    }
    HttpUtil.setKeepAlive(message, keepAlive);
    return context.writeAndFlush(message);
  }
}
