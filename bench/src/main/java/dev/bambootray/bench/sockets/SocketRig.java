package dev.bambootray.bench.sockets;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.ParameterDeclaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.declaration.ServiceDeclaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.daemon.NodeProcess;
import dev.bambootray.documents.DeclarationWriter;
import dev.bambootray.documents.HttpSettings;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One node with stand-ins for the platform and its workers, all on loopback. */
final class SocketRig implements AutoCloseable {
  /** The caller's token, whose digest is in the declaration. */
  static final String TOKEN = "bench-caller";

  private static final String TOKEN_SHA256 =
      "c9e48c7e6545a107f4978faf40b756bf775a781d9cb2e22e2340b7d6e6df2cf8";
  private static final String OPERATOR_TOKEN = "bench-operator";
  private static final RegionId REGION = RegionId.of("r1");
  private static final FailureDomainId DOMAIN = FailureDomainId.of("r1-a");
  private static final ServiceId SERVICE = ServiceId.of("service");
  private static final WorkspaceId WORKSPACE = WorkspaceId.of("ws");
  private static final TemplateId TEMPLATE = TemplateId.of("request");
  private static final int WORKERS = 10;
  private static final long READY_LIMIT_MS = 15_000;
  private static final long POLL_MS = 50;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final StandInPlatform platform = StandInPlatform.start(loops, 1);
  private final List<StandInWorker> workers = new ArrayList<>();
  private final NodeProcess node;

  private SocketRig() {
    RunLedger ledger = RunLedger.create();
    for (int i = 0; i <= WORKERS; i++) {
      workers.add(
          StandInWorker.start(
              StandInWorker.Spec.standard("w" + i, REGION.value()), loops, timers, ledger, i));
    }
    node =
        NodeProcess.start(settings(), OPERATOR_TOKEN)
            .getOrElseThrow(error -> new IllegalStateException(error.message()));
  }

  /** Starts the rig and waits until the node serves its region. */
  static SocketRig start() throws InterruptedException {
    SocketRig rig = new SocketRig();
    var unused =
        rig.node.api().publish(0, DeclarationWriter.write(rig.declaration()), "bench").join();
    long limitMs = System.currentTimeMillis() + READY_LIMIT_MS;
    while (rig.node.api().status().join().loads().stream()
        .noneMatch(load -> load.totalSlots() == WORKERS * 8)) {
      if (System.currentTimeMillis() > limitMs) {
        throw new IllegalStateException("the node does not serve its region");
      }
      Thread.sleep(POLL_MS);
    }
    return rig;
  }

  EventLoopGroup loops() {
    return loops;
  }

  String requestsUrl() {
    return "http://127.0.0.1:" + node.httpPort() + "/v1/workspaces/ws/requests?waitMs=10000";
  }

  int httpPort() {
    return node.httpPort();
  }

  /** Returns a worker that is not declared, for direct calls. */
  WorkerDeclaration undeclaredWorker() {
    return worker(WORKERS);
  }

  RegionId region() {
    return REGION;
  }

  @Override
  public void close() {
    node.close();
    workers.forEach(StandInWorker::close);
    platform.close();
    timers.shutdownNow();
    var unused = loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private WorkerDeclaration worker(int index) {
    return new WorkerDeclaration(
        WorkerId.of("w" + index),
        REGION,
        DOMAIN,
        RackId.of("rack"),
        index,
        "127.0.0.1",
        workers.get(index).server().port(),
        new Resources(8, 32_000, 65_536),
        List.of(SERVICE));
  }

  private Declaration declaration() {
    Map<WorkerId, WorkerDeclaration> declared = new HashMap<>();
    for (int i = 0; i < WORKERS; i++) {
      declared.put(worker(i).id(), worker(i));
    }
    return new Declaration(
        0,
        Map.of(REGION, new RegionDeclaration(REGION, List.of(DOMAIN), Map.of())),
        Map.of(SERVICE, new ServiceDeclaration(SERVICE, 8, 64)),
        declared,
        Map.of(
            WORKSPACE,
            new WorkspaceDeclaration(
                WORKSPACE, 1, List.of(), 10_000, 1_000, List.of(TOKEN_SHA256))),
        Map.of(
            TEMPLATE,
            new TemplateDeclaration(
                TEMPLATE,
                SERVICE,
                new Shape(1, 0, 0, 0, Adjacency.REGION),
                List.of(
                    new ParameterDeclaration(
                        "runMs",
                        ParameterDeclaration.Type.INTEGER,
                        true,
                        1.0,
                        60_000.0,
                        List.of(),
                        null)),
                true,
                2,
                60_000,
                3,
                false)),
        PolicyDeclaration.defaults());
  }

  private Settings settings() {
    int port = platform.server().port();
    return Settings.builder(NodeId.of("n1"), REGION, DOMAIN)
        .http(new HttpSettings("127.0.0.1", FreePorts.next(), null))
        .peer(new PeerSettings("127.0.0.1", FreePorts.next(), null))
        .platform(
            new PlatformSettings("127.0.0.1", port, "127.0.0.1", port, "127.0.0.1", port, 1_000))
        .build();
  }
}
