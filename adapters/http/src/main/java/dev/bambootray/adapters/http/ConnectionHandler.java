package dev.bambootray.adapters.http;

import dev.bambootray.core.model.RequestStep;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Answers the requests of one connection in their order, one at a time. While a request waits for
 * its answer no thread is held; when the caller disconnects, the wait is cancelled.
 */
final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  /**
   * A request that waits for the answer of an earlier one.
   *
   * @param request the request, or the response if it could not be read
   * @param keepAlive whether the caller keeps the connection open after it
   * @param whole whether all of it was read
   */
  private record Queued(
      Either<ApiResponse, ApiRequest> request, boolean keepAlive, boolean whole) {}

  private static final long LINGER_MS = 1_000;

  private final RequestRouter router;
  private final HttpLimits limits;
  private final ReceiveDeadline arrival;
  private final Deque<Queued> queue = new ArrayDeque<>();
  private @Nullable PendingResponse current;
  private @Nullable Future<?> idleTimer;
  private @Nullable ChannelHandlerContext context;
  private boolean stopping;
  private boolean closing;

  ConnectionHandler(RequestRouter router, HttpLimits limits, ReceiveDeadline arrival) {
    this.router = router;
    this.limits = limits;
    this.arrival = arrival;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
    startIdleTimer(added);
  }

  /** Closes the connection after the next answer. */
  void closeAfterAnswer() {
    ChannelHandlerContext added = context;
    if (added != null) {
      added.executor().execute(() -> stopping = true);
    }
  }

  /** Closes the connection if no request is arriving or waits for its answer. */
  void closeWhenIdle() {
    ChannelHandlerContext added = context;
    if (added != null) {
      LoopReads.catchUp(added.executor(), () -> closeIfIdle(added));
    }
  }

  private void closeIfIdle(ChannelHandlerContext added) {
    if (current == null && !arrival.isReceiving()) {
      closing = true;
      var unused = added.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext added, FullHttpRequest message) {
    cancelIdleTimer();
    if (closing) {
      return;
    }
    enqueue(added, read(message));
  }

  /** Answers a request that cannot be read with a problem when its turn comes, and closes. */
  void refuse(ApiResponse response) {
    ChannelHandlerContext added = context;
    if (added != null && !closing) {
      cancelIdleTimer();
      enqueue(added, new Queued(Either.left(response), false, false));
    }
  }

  boolean isBusy() {
    return current != null;
  }

  private void enqueue(ChannelHandlerContext added, Queued queued) {
    if (current == null) {
      answer(added, queued);
    } else if (queue.size() < limits.pipelined()) {
      queue.add(queued);
    } else {
      closing = true;
      var unused = added.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext added) {
    closing = true;
    cancelIdleTimer();
    queue.clear();
    if (current != null) {
      current.cancel();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext added, Throwable cause) {
    Logger.debug("http: connection closed: {}", cause.toString());
    var unused = added.close();
  }

  private static Queued read(FullHttpRequest message) {
    DecoderResult result = message.decoderResult();
    if (result.isSuccess()) {
      return new Queued(ApiRequest.read(message), HttpUtil.isKeepAlive(message), true);
    }
    boolean tooLong =
        result.cause() instanceof TooLongHttpHeaderException
            || result.cause() instanceof TooLongHttpLineException;
    ApiResponse response =
        tooLong
            ? Problems.local(
                431, RequestStep.ADMISSION, "the request line or headers are too large")
            : Problems.badRequest("the request is not HTTP/1.1");
    return new Queued(Either.left(response), false, false);
  }

  private void answer(ChannelHandlerContext added, Queued queued) {
    PendingResponse pending = queued.request().fold(PendingResponse::now, this::route);
    String traceparent = queued.request().map(ApiRequest::traceparent).getOrElse("");
    current = pending;
    var unused =
        pending
            .response()
            .whenComplete(
                (response, failure) -> {
                  ApiResponse known = failure == null ? response : failed(failure);
                  onLoop(added, () -> finish(added, known, traceparent, queued));
                });
  }

  /**
   * Runs on the event loop, at once if the caller is on it. An answer that is known at once is thus
   * written before the end of the caller's stream is read.
   */
  private static void onLoop(ChannelHandlerContext added, Runnable action) {
    if (added.executor().inEventLoop()) {
      action.run();
    } else {
      added.executor().execute(action);
    }
  }

  private PendingResponse route(ApiRequest request) {
    try {
      return router.route(request);
    } catch (RuntimeException e) {
      return PendingResponse.now(failed(e));
    }
  }

  private void finish(
      ChannelHandlerContext added, ApiResponse response, String traceparent, Queued queued) {
    current = null;
    if (closing) {
      return;
    }
    boolean keep = queued.keepAlive() && !stopping;
    ChannelFuture written = ResponseWriter.write(added, response, traceparent, keep);
    if (!keep) {
      closing = true;
      closeAfterLast(added, written, queued.whole());
      return;
    }
    Queued next = queue.poll();
    if (next != null) {
      answer(added, next);
    } else {
      startIdleTimer(added);
    }
  }

  /**
   * Closes after the last answer. If the caller may still be sending, the close waits: closing with
   * unread bytes resets the connection, and the caller could lose the answer.
   */
  private static void closeAfterLast(
      ChannelHandlerContext added, ChannelFuture written, boolean whole) {
    var unused =
        whole ? written.addListener(ChannelFutureListener.CLOSE) : closeAfter(added, LINGER_MS);
  }

  private void startIdleTimer(ChannelHandlerContext added) {
    idleTimer = closeAfter(added, limits.idleMs());
  }

  private static Future<?> closeAfter(ChannelHandlerContext added, long delayMs) {
    return added
        .executor()
        .schedule(
            () -> {
              var unused = added.close();
            },
            delayMs,
            TimeUnit.MILLISECONDS);
  }

  private void cancelIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
      idleTimer = null;
    }
  }

  private static ApiResponse failed(Throwable failure) {
    Logger.error("http: the node failed to answer: {}", failure.getClass().getName());
    return Problems.internal();
  }
}
