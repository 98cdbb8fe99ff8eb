package dev.bambootray.adapters.platform;

import dev.bambootray.adapters.httpclient.ConnectionPool;
import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.NoReply;
import dev.bambootray.adapters.httpclient.HttpExchange.NotSent;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.LinkDelay;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import dev.bambootray.ports.PeerNetwork.PeerAddress;
import dev.bambootray.ports.WorkerGateway;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Commands to worker agents over HTTP. At most 10 connections are open to a worker: 8 for runs, one
 * for polling, and one that always remains for other commands.
 */
public final class HttpWorkerGateway implements WorkerGateway {
  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
  private static final ConnectionPool.Limits LIMITS =
      new ConnectionPool.Limits(8, 1, 9, MAX_RESPONSE_BYTES);
  private static final long RETRY_AFTER_MS = 1_000;

  private final EventLoopGroup group;
  private final LinkDelay delay;
  private final Map<PeerAddress, ConnectionPool> pools = new ConcurrentHashMap<>();

  private HttpWorkerGateway(EventLoopGroup group, LinkDelay delay) {
    this.group = group;
    this.delay = delay;
  }

  /**
   * Returns a gateway; it connects when it is used.
   *
   * @param group event loops for its connections
   * @param delay emulated latency, {@link LinkDelay#NONE} in production
   */
  public static HttpWorkerGateway create(EventLoopGroup group, LinkDelay delay) {
    return new HttpWorkerGateway(group, delay);
  }

  @Override
  public CompletableFuture<WorkerReply> send(
      WorkerDeclaration worker, WorkerCommand command, long timeoutMs) {
    return pool(worker)
        .send(WorkerCommandJson.request(command), timeoutMs)
        .thenApply(outcome -> reply(worker.id().value(), command, outcome));
  }

  @Override
  public void closeConnectionOf(WorkerDeclaration worker, TaskId task) {
    pool(worker).closeConnectionOf(task);
  }

  @Override
  public void close() {
    pools.values().forEach(ConnectionPool::close);
  }

  private ConnectionPool pool(WorkerDeclaration worker) {
    return pools.computeIfAbsent(
        new PeerAddress(worker.host(), worker.port()),
        address -> new ConnectionPool(group.next(), address.host(), address.port(), LIMITS, delay));
  }

  private static WorkerReply reply(String worker, WorkerCommand command, Outcome outcome) {
    if (outcome instanceof NotSent notSent) {
      return notSent(worker, notSent.reason());
    }
    if (outcome instanceof NoReply noReply) {
      return noReply(worker, noReply.reason());
    }
    Answered answered = (Answered) outcome;
    int status = answered.status();
    try {
      if (status == 200) {
        return WorkerReplyJson.reply(command, PlatformCalls.JSON.readTree(answered.body().bytes()));
      }
      if (status == 409) {
        return WorkerReplyJson.refusal(PlatformCalls.JSON.readTree(answered.body().bytes()));
      }
    } catch (IOException | IllegalArgumentException e) {
      return noReply(worker, "malformed reply with status " + status);
    }
    return switch (status) {
      case 400, 413 -> new WorkerReply.Refused(RefusalReason.INVALID, 0);
      case 429, 503 -> new WorkerReply.Refused(RefusalReason.NO_CAPACITY, 0);
      default -> noReply(worker, "status " + status);
    };
  }

  private static WorkerReply notSent(String worker, String reason) {
    return new WorkerReply.NotSent(
        RequestError.notRun(RequestStep.DISPATCH, worker, reason, RETRY_AFTER_MS));
  }

  private static WorkerReply noReply(String worker, String reason) {
    return new WorkerReply.NoReply(RequestError.unknown(RequestStep.DISPATCH, worker, reason));
  }
}
