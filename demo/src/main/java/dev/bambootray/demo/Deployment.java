package dev.bambootray.demo;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.daemon.NodeProcess;
import dev.bambootray.daemon.StartError;
import dev.bambootray.documents.HttpSettings;
import dev.bambootray.documents.LinkDelaySettings;
import dev.bambootray.documents.PeerSettings;
import dev.bambootray.documents.PlatformSettings;
import dev.bambootray.documents.Settings;
import dev.bambootray.standins.FreePorts;
import dev.bambootray.standins.RunLedger;
import dev.bambootray.standins.StandInPlatform;
import dev.bambootray.standins.StandInWorker;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A whole deployment in this process: stand-ins for platform and workers, and nine nodes. */
final class Deployment implements AutoCloseable {
  static final String OPERATOR_TOKEN = "demo-operator";

  private static final int NODES_PER_REGION = 3;
  private static final int STAND_IN_THREADS = 2;
  private static final long STORE_TIMEOUT_MS = 500;
  private static final long SHUTDOWN_GRACE_MS = 20_000;
  private static final LinkDelaySettings DELAYS = new LinkDelaySettings(20, 0.5, 3);

  private final EventLoopGroup standInLoops =
      new MultiThreadIoEventLoopGroup(STAND_IN_THREADS, NioIoHandler.newFactory());
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final RunLedger ledger = RunLedger.create();
  private final StandInPlatform platform;
  private final Map<WorkerId, StandInWorker> workers = new HashMap<>();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final Declaration declaration;

  private Deployment(Declaration declared, long seed) {
    platform = StandInPlatform.start(standInLoops, seed);
    declared.workers().values().stream()
        .sorted(Comparator.comparing(WorkerDeclaration::id))
        .forEach(worker -> workers.put(worker.id(), startWorker(worker, seed)));
    declaration = withPorts(declared);
  }

  /** Starts a deployment; the nodes have no declaration yet. */
  static Either<StartError, Deployment> start(Declaration declared, long seed) {
    Deployment deployment = new Deployment(declared, seed);
    for (RegionDeclaration region :
        declared.regions().values().stream()
            .sorted(Comparator.comparing(RegionDeclaration::id))
            .toList()) {
      for (int i = 0; i < NODES_PER_REGION; i++) {
        Either<StartError, NodeProcess> node =
            NodeProcess.start(deployment.settings(region, i), OPERATOR_TOKEN);
        if (node.isLeft()) {
          deployment.close();
          return Either.left(node.getLeft());
        }
        deployment.nodes.add(node.get());
        deployment.platform.vms().put(node.get().node().value(), "127.0.0.1", false);
      }
    }
    return Either.right(deployment);
  }

  /** Returns the declaration with the ports on which the workers listen. */
  Declaration declaration() {
    return declaration;
  }

  RunLedger ledger() {
    return ledger;
  }

  StandInPlatform platform() {
    return platform;
  }

  List<NodeProcess> nodes() {
    return nodes;
  }

  List<StandInWorker> workers() {
    return List.copyOf(workers.values());
  }

  StandInWorker worker(WorkerId id) {
    StandInWorker worker = workers.get(id);
    if (worker == null) {
      throw new IllegalArgumentException("no worker " + id);
    }
    return worker;
  }

  long crossRegionBytes() {
    return nodes.stream().mapToLong(NodeProcess::crossRegionBytes).sum();
  }

  @Override
  public void close() {
    nodes.forEach(NodeProcess::close);
    workers.values().forEach(StandInWorker::close);
    platform.close();
    timers.shutdownNow();
    var unused = standInLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private StandInWorker startWorker(WorkerDeclaration worker, long seed) {
    return StandInWorker.start(
        new StandInWorker.Spec(
            worker.id().value(),
            worker.region().value(),
            declaredSlots(),
            worker.capacity().accelerators(),
            worker.capacity().millicores(),
            worker.capacity().memoryMib()),
        standInLoops,
        timers,
        ledger,
        seed + worker.id().hashCode());
  }

  private static int declaredSlots() {
    return 8;
  }

  private Declaration withPorts(Declaration declared) {
    Map<WorkerId, WorkerDeclaration> listening = new HashMap<>();
    for (WorkerDeclaration worker : declared.workers().values()) {
      listening.put(
          worker.id(),
          new WorkerDeclaration(
              worker.id(),
              worker.region(),
              worker.failureDomain(),
              worker.rack(),
              worker.positionInRack(),
              "127.0.0.1",
              worker(worker.id()).server().port(),
              worker.capacity(),
              worker.services()));
    }
    return new Declaration(
        declared.version(),
        declared.regions(),
        declared.services(),
        listening,
        declared.workspaces(),
        declared.templates(),
        declared.policy());
  }

  private Settings settings(RegionDeclaration region, int index) {
    FailureDomainId domain = region.failureDomains().get(index % region.failureDomains().size());
    int platformPort = platform.server().port();
    return Settings.builder(NodeId.of(region.id() + "-" + (index + 1)), region.id(), domain)
        .http(new HttpSettings("127.0.0.1", FreePorts.next(), null))
        .peer(new PeerSettings("127.0.0.1", FreePorts.next(), null))
        .platform(
            new PlatformSettings(
                "127.0.0.1",
                platformPort,
                "127.0.0.1",
                platformPort,
                "127.0.0.1",
                platformPort,
                STORE_TIMEOUT_MS))
        .shutdownGraceMs(SHUTDOWN_GRACE_MS)
        .linkDelay(DELAYS)
        .build();
  }
}
