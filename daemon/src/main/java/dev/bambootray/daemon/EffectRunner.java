package dev.bambootray.daemon;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.node.NodeEvent;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.worker.WorkerReply;
import dev.bambootray.ports.ObjectStore;
import dev.bambootray.ports.PeerNetwork;
import dev.bambootray.ports.PeerNetwork.PeerAddress;
import dev.bambootray.ports.TableStore;
import dev.bambootray.ports.VmDirectory;
import dev.bambootray.ports.VmDirectory.VmEntry;
import dev.bambootray.ports.WorkerGateway;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Carries out effects by calls of the platform, workers and peers, and posts their outcomes. */
final class EffectRunner {
  private final TableStore table;
  private final ObjectStore objects;
  private final VmDirectory vms;
  private final WorkerGateway workers;
  private final PeerNetwork peers;
  private final NodeTelemetry telemetry;
  private final Consumer<NodeEvent> post;

  EffectRunner(
      TableStore table,
      ObjectStore objects,
      VmDirectory vms,
      WorkerGateway workers,
      PeerNetwork peers,
      NodeTelemetry telemetry,
      Consumer<NodeEvent> post) {
    this.table = table;
    this.objects = objects;
    this.vms = vms;
    this.workers = workers;
    this.peers = peers;
    this.telemetry = telemetry;
    this.post = post;
  }

  /** Carries out an effect; returns false if the effect needs no call outside the node. */
  boolean run(NodeEffect effect) {
    if (effect instanceof NodeEffect.Commit commit) {
      store(
          "commit",
          table.commit(commit.transaction()),
          outcome -> new NodeEvent.CommitEnded(commit.id(), outcome));
    } else if (effect instanceof NodeEffect.ReadRow read) {
      store("read", table.get(read.key()), outcome -> new NodeEvent.RowRead(read.id(), outcome));
    } else if (effect instanceof NodeEffect.ScanRows scan) {
      store(
          "scan",
          table.scan(scan.prefix(), scan.afterKey(), scan.limit()),
          outcome -> new NodeEvent.RowsScanned(scan.id(), outcome));
    } else if (effect instanceof NodeEffect.PutObject put) {
      store(
          "put",
          objects.put(put.name(), put.content().getBytes(StandardCharsets.UTF_8)),
          outcome -> new NodeEvent.ObjectPut(put.id(), outcome));
    } else if (effect instanceof NodeEffect.ListVms list) {
      store(
          "vms",
          vms.list(),
          outcome -> new NodeEvent.VmsListed(list.id(), outcome.map(EffectRunner::leavingByName)));
    } else if (effect instanceof NodeEffect.SendWorker send) {
      sendWorker(send);
    } else if (effect instanceof NodeEffect.CloseWorkerConnection close) {
      workers.closeConnectionOf(close.worker(), close.task());
    } else if (effect instanceof NodeEffect.SendPeer send) {
      telemetry.recordPeerHop("forward", send.message());
      peers.send(addressOf(send.receiver()), send.message());
    } else if (effect instanceof NodeEffect.ResetPeer reset) {
      peers.reset(addressOf(reset.receiver()));
    } else {
      return false;
    }
    return true;
  }

  private <T> void store(
      String name,
      CompletableFuture<Either<StoreError, T>> call,
      Function<Either<StoreError, T>, NodeEvent> toEvent) {
    long startNanos = System.nanoTime();
    CompletableFuture<Void> unused =
        call.exceptionally(
                failure ->
                    Either.left(
                        new StoreError("platform", String.valueOf(failure.getMessage()), true)))
            .thenAccept(
                outcome -> {
                  telemetry
                      .metrics()
                      .storeCalled(
                          name,
                          outcome.isRight() ? "answered" : "error",
                          System.nanoTime() - startNanos);
                  post.accept(toEvent.apply(outcome));
                });
  }

  private void sendWorker(NodeEffect.SendWorker send) {
    TracedCommand hop = telemetry.traceCommand(send);
    CompletableFuture<Void> unused =
        workers
            .send(send.worker(), hop.command(), send.timeoutMs())
            .exceptionally(failure -> noReply(send, failure))
            .thenAccept(
                reply -> {
                  telemetry.workerReplied(hop, send.worker().id().value(), reply);
                  post.accept(new NodeEvent.WorkerReplied(send.id(), reply));
                });
  }

  private static WorkerReply noReply(NodeEffect.SendWorker send, Throwable failure) {
    return new WorkerReply.NoReply(
        RequestError.unknown(
            RequestStep.DISPATCH,
            send.worker().id().value(),
            String.valueOf(failure.getMessage())));
  }

  private static Map<String, Boolean> leavingByName(List<VmEntry> entries) {
    return entries.stream()
        .collect(Collectors.toMap(VmEntry::name, VmEntry::leaving, Boolean::logicalOr));
  }

  private static PeerAddress addressOf(MemberState member) {
    return new PeerAddress(member.host(), member.peerPort());
  }
}
