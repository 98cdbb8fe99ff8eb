package dev.bambootray.standins;

import static io.netty.channel.ChannelFutureListener.CLOSE_ON_FAILURE;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicBoolean;

/** One request to a stand-in and the means to answer it once. */
final class HttpCall {
  static final ObjectMapper JSON = new ObjectMapper();

  private final Channel channel;
  private final String method;
  private final QueryStringDecoder uri;
  private final byte[] body;
  private final Runnable onWritten;
  private final AtomicBoolean answered = new AtomicBoolean();
  private volatile boolean loseAnswer;

  HttpCall(Channel channel, String method, String uri, byte[] body, Runnable onWritten) {
    this.channel = channel;
    this.method = method;
    this.uri = new QueryStringDecoder(uri);
    this.body = body;
    this.onWritten = onWritten;
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
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
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
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    if (loseAnswer) {
      var unused = channel.close();
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
    var unused =
        channel
            .writeAndFlush(response)
            .addListener(CLOSE_ON_FAILURE)
            .addListener(done -> onWritten.run());
  }

  void drop() {
    if (answered.compareAndSet(false, true)) {
      var unused = channel.close();
    }
  }

  /** Answers with status 200 and an empty object. */
  void done() {
    answer(200, JSON.createObjectNode());
  }
}
