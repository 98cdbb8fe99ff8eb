package dev.bambootray.daemon;

import dev.bambootray.adapters.telemetry.Hop;
import dev.bambootray.adapters.telemetry.NodeMetrics;
import dev.bambootray.adapters.telemetry.SpanAttribute;
import dev.bambootray.adapters.telemetry.Tracing;
import dev.bambootray.adapters.telemetry.TracingSettings;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.ledger.RequestRecordState;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.Answer;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.node.NodeSnapshot;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import dev.bambootray.documents.Settings;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

/** Records metrics of a node, and a tracing span for each hop of a request. */
final class NodeTelemetry implements AutoCloseable {
  private final Settings settings;
  private final LongSupplier clock;
  private final NodeMetrics metrics = NodeMetrics.create();
  private final Tracing tracing;
  private final Set<Ownership> reportedOwnerships = ConcurrentHashMap.newKeySet();

  private NodeTelemetry(Settings settings, LongSupplier clock) {
    this.settings = settings;
    this.clock = clock;
    tracing =
        Tracing.create(
            new TracingSettings(
                settings.node().value(),
                settings.telemetry().samplingRatio(),
                settings.telemetry().otlpEndpoint()));
  }

  /** Returns the telemetry of a node. */
  static NodeTelemetry create(Settings settings, LongSupplier clock) {
    return new NodeTelemetry(settings, clock);
  }

  NodeMetrics metrics() {
    return metrics;
  }

  /** Begins the span of a caller's request that enters this node. */
  Hop beginSubmit(RequestSpec spec) {
    return tracing
        .receive("submit", spec.traceparent())
        .with(SpanAttribute.REQUEST, spec.key().path())
        .with(SpanAttribute.TEMPLATE, spec.template().value())
        .with(SpanAttribute.NODE, settings.node().value());
  }

  /** Records a span for a request that is sent to or received from another node. */
  void recordPeerHop(String name, PeerMessage message) {
    if (message instanceof PeerMessage.SubmitRequest submit) {
      tracing
          .call(name, submit.spec().traceparent())
          .with(SpanAttribute.REQUEST, submit.spec().key().path())
          .with(SpanAttribute.REGION, submit.region().value())
          .with(SpanAttribute.NODE, settings.node().value())
          .end();
    }
  }

  /** Begins the span of a task that a worker runs, and adds its trace context to the command. */
  TracedCommand traceCommand(NodeEffect.SendWorker send) {
    WorkerCommand command = send.command();
    if (command instanceof WorkerCommand.Run run) {
      Hop hop = traceCommand("run", run.traceparent(), send, run.task().attempt().value());
      return new TracedCommand(
          new WorkerCommand.Run(
              run.ownership(),
              run.task(),
              run.key(),
              run.template(),
              run.parametersJson(),
              run.maxRunMs(),
              hop.traceparent()),
          hop);
    }
    if (command instanceof WorkerCommand.Start start) {
      Hop hop = traceCommand("start", start.traceparent(), send, start.task().attempt().value());
      return new TracedCommand(
          new WorkerCommand.Start(
              start.ownership(),
              start.task(),
              start.parametersJson(),
              start.maxRunMs(),
              start.checkpoint(),
              hop.traceparent()),
          hop);
    }
    return new TracedCommand(command, null);
  }

  /** Ends the span of a command to a worker when its reply arrives. */
  void workerReplied(TracedCommand hop, String worker, WorkerReply reply) {
    if (hop.span() == null) {
      return;
    }
    if (reply instanceof WorkerReply.NoReply || reply instanceof WorkerReply.NotSent) {
      hop.span().fail(RequestStep.DISPATCH, worker);
    }
    hop.span().end();
  }

  void replied(NodeEffect.ReplyToCaller reply, boolean gang) {
    if (reply.outcome().isLeft()) {
      RequestError error = reply.outcome().getLeft();
      metrics.requestRefused(error.step());
      return;
    }
    RequestRecord found = reply.outcome().get();
    Answer answer = found.answer();
    if (found.state() == RequestRecordState.ANSWERED && answer != null) {
      metrics.requestAnswered(
          answer.ran(),
          answer.error() == null,
          gang,
          Math.max(0, clock.getAsLong() - found.spec().submittedAtMs()));
    } else {
      metrics.requestAccepted(found.region());
    }
  }

  /** Updates the gauges from a snapshot of the node. */
  void updateGauges(NodeSnapshot snapshot) {
    metrics.setOpenRequests(snapshot.openRequests());
    metrics.setConfigurationVersion(snapshot.configurationVersion());
    reportedOwnerships.removeIf(
        reported -> {
          boolean lost = !snapshot.owned().contains(reported);
          if (lost) {
            metrics.setOwnershipEpoch(reported.region(), 0);
          }
          return lost;
        });
    for (Ownership owned : snapshot.owned()) {
      reportedOwnerships.add(owned);
      metrics.setOwnershipEpoch(owned.region(), owned.epoch());
    }
  }

  @Override
  public void close() {
    tracing.close();
  }

  private Hop traceCommand(
      String name, String traceparent, NodeEffect.SendWorker send, String attempt) {
    Ownership ownership = send.command().ownership();
    metrics.dispatched(ownership.region(), false);
    return tracing
        .call(name, traceparent)
        .with(SpanAttribute.WORKER, send.worker().id().value())
        .with(SpanAttribute.ATTEMPT, attempt)
        .with(SpanAttribute.REGION, ownership.region().value())
        .with(SpanAttribute.EPOCH, Long.toString(ownership.epoch()))
        .with(SpanAttribute.NODE, settings.node().value());
  }
}
