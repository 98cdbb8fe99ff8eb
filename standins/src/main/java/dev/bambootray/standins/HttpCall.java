package dev.bambootray.standins;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.concurrent.atomic.AtomicBoolean;

/** One request to a stand-in and the means to answer it once. */
final class HttpCall {
  static final ObjectMapper JSON = new ObjectMapper();

  private final HttpStandIn server;
  private final Channel channel;
  private final String method;
  private final QueryStringDecoder uri;
  private final byte[] body;
  private final boolean keepAlive;
  private final AtomicBoolean answered = new AtomicBoolean();
  private volatile boolean loseAnswer;

  HttpCall(HttpStandIn server, Channel channel, FullHttpRequest request) {
    this.server = server;
    this.channel = channel;
    method = request.method().name();
    uri = new QueryStringDecoder(request.uri());
    body = ByteBufUtil.getBytes(request.content());
    keepAlive = HttpUtil.isKeepAlive(request);
  }

  String method() {
    return method;
  }

  String path() {
    return uri.path();
  }

  String query(String name, String fallback) {
    var values = uri.parameters().get(name);
    return values == null || values.isEmpty() ? fallback : values.get(0);
  }

  byte[] body() {
    return body;
  }

  JsonNode json() {
    return parse(new String(body, UTF_8));
  }

  static JsonNode parse(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  boolean isConnected() {
    return channel.isActive();
  }

  void loseAnswer() {
    loseAnswer = true;
  }

  void answer(int status, JsonNode content) {
    answerBytes(status, content.toString().getBytes(UTF_8));
  }

  void answerBytes(int status, byte[] content) {
    if (!answered.compareAndSet(false, true) || server.isSilent(channel)) {
      return;
    }
    if (loseAnswer) {
      server.retire(channel);
      return;
    }
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
    if (status == 429) {
      response.headers().setInt(HttpHeaderNames.RETRY_AFTER, 1);
    }
    var unused = channel.writeAndFlush(response).addListener(done -> afterWrite(done.isSuccess()));
  }

  private void afterWrite(boolean written) {
    if (!written || !keepAlive) {
      server.retire(channel);
    }
  }

  void drop() {
    if (answered.compareAndSet(false, true)) {
      server.retire(channel);
    }
  }

  /** Answers with status 200 and an empty object. */
  void done() {
    answer(200, JSON.createObjectNode());
  }
}
