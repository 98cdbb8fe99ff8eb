package dev.bambootray.daemon.rig;

import dev.bambootray.core.configuration.CurrentVersion;
import dev.bambootray.core.configuration.PublishedDeclaration;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.node.NodeCore;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.node.NodeEvent;
import dev.bambootray.core.node.NodeIdentity;
import dev.bambootray.core.node.NodeSnapshot;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.worker.WorkerReply;
import dev.bambootray.daemon.JsonRowCodec;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates a cluster by an injected clock: node cores, an in-memory table and workers. */
public final class SimulatedCluster {
  private static final long TICK_MS = 50;
  private static final long CALL_MS = 1;

  private final JsonRowCodec codec = JsonRowCodec.create();
  private final InMemoryTable table = new InMemoryTable();
  private final Map<NodeId, NodeCore> nodes = new LinkedHashMap<>();
  private final Map<NodeId, NodeIdentity> identities = new HashMap<>();
  private final Map<WorkerId, FakeWorker> workers = new LinkedHashMap<>();
  private final Map<Long, List<Either<RequestError, RequestRecord>>> replies = new HashMap<>();
  private final Map<Long, NodeSnapshot> snapshots = new HashMap<>();
  private final Set<NodeId> cutFromTable = new HashSet<>();
  private final Set<NodeId> paused = new HashSet<>();
  private final PriorityQueue<Delivery> queue = new PriorityQueue<>();
  private final Declaration declaration;
  private BiPredicate<NodeId, NodeEffect> killBefore = (node, effect) -> false;
  private BiPredicate<NodeId, NodeId> linkDown = (from, to) -> false;
  private long nowMs = 1_000_000;
  private long nextTickAtMs = nowMs + TICK_MS;
  private long sequence;
  private long lastTicket;
  private int incarnations;

  private SimulatedCluster(Declaration declaration) {
    this.declaration = declaration;
    declaration.workers().keySet().stream()
        .sorted()
        .forEach(id -> workers.put(id, new FakeWorker(id, this)));
    PublishedDeclaration published = new PublishedDeclaration(1, "declared", nowMs, "test");
    table.put("config/history/1", codec.encodeDeclaration(published));
    table.put("config/current", codec.encodeCurrent(new CurrentVersion(1, nowMs, "test")));
  }

  /** Returns a cluster without nodes whose table holds the declaration as version 1. */
  public static SimulatedCluster create(Declaration declaration) {
    return new SimulatedCluster(declaration);
  }

  public long nowMs() {
    return nowMs;
  }

  public InMemoryTable table() {
    return table;
  }

  public FakeWorker worker(String id) {
    return workers.get(WorkerId.of(id));
  }

  public List<FakeWorker> workers() {
    return List.copyOf(workers.values());
  }

  /** Starts a node, or starts it again after it was killed. */
  public NodeId start(String name, String region) {
    NodeId id = NodeId.of(name);
    incarnations++;
    NodeIdentity identity =
        new NodeIdentity(
            id,
            RegionId.of(region),
            FailureDomainId.of(region + "-a"),
            "127.0.0.1",
            10_000 + incarnations,
            20_000 + incarnations,
            nowMs + incarnations);
    identities.put(id, identity);
    nodes.put(
        id,
        NodeCore.builder()
            .identity(identity)
            .codec(codec)
            .declarationReader((text, version) -> Either.right(declaration.withVersion(version)))
            .random(RandomSource.XO_RO_SHI_RO_128_PP.create(incarnations))
            .build());
    return id;
  }

  public void kill(NodeId id) {
    nodes.remove(id);
  }

  /** Kills a node just before it carries out the first effect that matches. */
  public void killBefore(NodeId id, Predicate<NodeEffect> condition) {
    killBefore = (node, effect) -> node.equals(id) && condition.test(effect);
  }

  /** Pauses or resumes a node; events other than ticks are kept until it resumes. */
  public void setPaused(NodeId id, boolean value) {
    if (value) {
      paused.add(id);
    } else {
      paused.remove(id);
    }
  }

  public void setCutFromTable(NodeId id, boolean value) {
    if (value) {
      cutFromTable.add(id);
    } else {
      cutFromTable.remove(id);
    }
  }

  /** Drops messages between nodes while the condition holds. */
  public void setLinkDown(BiPredicate<NodeId, NodeId> condition) {
    linkDown = condition;
  }

  public long submit(NodeId id, RequestSpec spec, long waitMs) {
    long ticket = ++lastTicket;
    post(id, new NodeEvent.CallerSubmitted(ticket, spec, waitMs));
    return ticket;
  }

  public long read(NodeId id, RequestSpec spec, long waitMs) {
    long ticket = ++lastTicket;
    post(id, new NodeEvent.CallerRead(ticket, spec.key(), waitMs));
    return ticket;
  }

  public long cancel(NodeId id, RequestSpec spec) {
    long ticket = ++lastTicket;
    post(id, new NodeEvent.CallerCancelled(ticket, spec.key()));
    return ticket;
  }

  public void drain(NodeId id) {
    post(id, new NodeEvent.DrainRequested());
  }

  /** Returns all replies to a call; more than one would be an error of the node. */
  public List<Either<RequestError, RequestRecord>> replies(long ticket) {
    return replies.getOrDefault(ticket, List.of());
  }

  public NodeSnapshot snapshot(NodeId id) {
    long ticket = ++lastTicket;
    post(id, new NodeEvent.StatusRequested(ticket));
    run(TICK_MS);
    return snapshots.get(ticket);
  }

  public NodeId ownerOf(String region) {
    return List.copyOf(nodes.keySet()).stream()
        .filter(
            id ->
                snapshot(id).owned().stream()
                    .anyMatch(owned -> owned.region().equals(RegionId.of(region))))
        .findFirst()
        .orElseThrow();
  }

  public List<FakeWorker.Start> startsOf(RequestSpec spec) {
    return workers.values().stream()
        .flatMap(worker -> worker.starts().stream())
        .filter(start -> start.key().equals(spec.key()))
        .toList();
  }

  /** Advances the clock, runs due deliveries in order and ticks every node. */
  public void run(long forMs) {
    long endMs = nowMs + forMs;
    while (nowMs < endMs) {
      long nextMs = Math.min(endMs, nextTickAtMs);
      while (!queue.isEmpty() && queue.peek().atMs <= nextMs) {
        Delivery next = queue.poll();
        nowMs = Math.max(nowMs, next.atMs);
        next.action.run();
      }
      nowMs = nextMs;
      if (nowMs == nextTickAtMs) {
        nextTickAtMs += TICK_MS;
        List.copyOf(nodes.keySet()).forEach(id -> handle(id, new NodeEvent.Tick()));
      }
    }
  }

  void after(long delayMs, Runnable action) {
    queue.add(new Delivery(nowMs + delayMs, ++sequence, action));
  }

  private void post(NodeId id, NodeEvent event) {
    NodeCore addressed = nodes.get(id);
    after(
        CALL_MS,
        () -> {
          if (nodes.get(id) == addressed && addressed != null) {
            handle(id, event);
          }
        });
  }

  private void handle(NodeId id, NodeEvent event) {
    NodeCore node = nodes.get(id);
    if (node == null) {
      return;
    }
    if (paused.contains(id)) {
      if (!(event instanceof NodeEvent.Tick)) {
        after(TICK_MS, () -> handle(id, event));
      }
      return;
    }
    for (NodeEffect effect : node.handle(event, nowMs)) {
      if (killBefore.test(id, effect)) {
        killBefore = (other, ignored) -> false;
        kill(id);
        return;
      }
      carryOut(id, effect);
    }
  }

  private void carryOut(NodeId id, NodeEffect effect) {
    if (effect instanceof NodeEffect.Commit commit) {
      after(
          CALL_MS,
          () ->
              post(
                  id,
                  new NodeEvent.CommitEnded(
                      commit.id(),
                      cutFromTable.contains(id) ? away() : table.commit(commit.transaction()))));
    } else if (effect instanceof NodeEffect.ReadRow read) {
      post(
          id,
          new NodeEvent.RowRead(
              read.id(), cutFromTable.contains(id) ? away() : table.get(read.key())));
    } else if (effect instanceof NodeEffect.ScanRows scan) {
      post(
          id,
          new NodeEvent.RowsScanned(
              scan.id(),
              cutFromTable.contains(id)
                  ? away()
                  : table.scan(scan.prefix(), scan.afterKey(), scan.limit())));
    } else if (effect instanceof NodeEffect.PutObject put) {
      post(id, new NodeEvent.ObjectPut(put.id(), Either.right(true)));
    } else if (effect instanceof NodeEffect.ListVms list) {
      post(id, new NodeEvent.VmsListed(list.id(), Either.right(Map.of())));
    } else if (effect instanceof NodeEffect.SendWorker send) {
      sendWorker(id, send);
    } else if (effect instanceof NodeEffect.SendPeer send) {
      sendPeer(id, send.receiver().node(), send.message());
    } else if (effect instanceof NodeEffect.ReplyToCaller reply) {
      replies.computeIfAbsent(reply.ticket(), t -> new ArrayList<>()).add(reply.outcome());
    } else if (effect instanceof NodeEffect.Report report && Boolean.getBoolean("rig.trace")) {
      System.out.println(nowMs + " " + id + " " + report);
    } else if (effect instanceof NodeEffect.ReplyStatus reply) {
      snapshots.put(reply.ticket(), reply.snapshot());
    }
  }

  private void sendWorker(NodeId id, NodeEffect.SendWorker send) {
    NodeCore sender = nodes.get(id);
    FakeWorker worker = workers.get(send.worker().id());
    after(
        CALL_MS,
        () ->
            worker.handle(
                send.command(),
                reply -> {
                  if (nodes.get(id) == sender) {
                    post(id, new NodeEvent.WorkerReplied(send.id(), reply));
                  }
                }));
    after(
        send.timeoutMs(),
        () -> {
          if (nodes.get(id) == sender) {
            post(id, new NodeEvent.WorkerReplied(send.id(), timeout(send)));
          }
        });
  }

  private void sendPeer(NodeId from, NodeId to, PeerMessage message) {
    if (!linkDown.test(from, to)) {
      post(to, new NodeEvent.PeerMessageReceived(message));
    }
  }

  private static WorkerReply timeout(NodeEffect.SendWorker send) {
    return new WorkerReply.NoReply(
        RequestError.unknown(RequestStep.DISPATCH, send.worker().id().value(), "timed out"));
  }

  private static <T> Either<StoreError, T> away() {
    return Either.left(new StoreError("table", "the table is out of reach", false));
  }

  private static final class Delivery implements Comparable<Delivery> {
    private final long atMs;
    private final long order;
    private final Runnable action;

    private Delivery(long atMs, long order, Runnable action) {
      this.atMs = atMs;
      this.order = order;
      this.action = action;
    }

    @Override
    public int compareTo(Delivery other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }
}
