package dev.bambootray.daemon;

import dev.bambootray.adapters.http.HttpApiServer;
import dev.bambootray.adapters.http.HttpLimits;
import dev.bambootray.adapters.http.NodeProbes;
import dev.bambootray.adapters.httpclient.LinkDelay;
import dev.bambootray.adapters.peer.PeerTraffic;
import dev.bambootray.adapters.peer.TcpPeerNetwork;
import dev.bambootray.adapters.platform.HttpWorkerGateway;
import dev.bambootray.adapters.platform.PlatformClient;
import dev.bambootray.adapters.telemetry.Redaction;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.node.NodeCore;
import dev.bambootray.core.node.NodeEffect;
import dev.bambootray.core.node.NodeEvent;
import dev.bambootray.core.node.NodeIdentity;
import dev.bambootray.core.node.NodeLimits;
import dev.bambootray.documents.DeclarationParser;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.Settings;
import dev.bambootray.ports.PeerNetwork.PeerAddress;
import dev.bambootray.ports.api.NodeApi;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vavr.control.Either;
import java.net.BindException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.rng.simple.RandomSource;
import org.tinylog.Logger;

/** Wires and runs one node: its control thread, its event loops, its servers and its clients. */
public final class NodeProcess implements AutoCloseable {
  private static final int TRAFFIC_THREADS = 2;
  private static final long TICK_MS = 50;

  /** Interval at which gauges are refreshed and key files are read again. */
  private static final long MAINTENANCE_INTERVAL_MS = 10_000;

  private final Settings settings;
  private final EventLoopGroup traffic;
  private final PeerLocations locations;
  private final NodeTlsKeys keys;
  private final NodeTelemetry telemetry;
  private final PlatformClient platform;
  private final HttpWorkerGateway workers;
  private final TcpPeerNetwork peers;
  private final ControlLoop<NodeEvent> loop;
  private final EffectRunner effectRunner;
  private final NodeService service;
  private final NodeEventLog events = new NodeEventLog();
  private final HttpApiServer http;
  private final Future<?> ticks;
  private final Future<?> maintenance;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final CompletableFuture<Boolean> drained = new CompletableFuture<>();
  private volatile String notReadyReason = "the node has just started";

  private NodeProcess(Settings settings, String operatorToken, NodeTlsKeys keys) {
    this.settings = settings;
    this.keys = keys;
    telemetry = NodeTelemetry.create(settings, System::currentTimeMillis);
    Redaction.register(operatorToken);
    traffic = new MultiThreadIoEventLoopGroup(TRAFFIC_THREADS, NioIoHandler.newFactory());
    locations =
        new PeerLocations(settings.region(), settings.failureDomain(), settings.linkDelay());
    LinkDelay delay = (host, port) -> locations.oneWayMicros(new PeerAddress(host, port));
    platform =
        PlatformClient.create(
            traffic,
            settings.platform().tableHost(),
            settings.platform().tablePort(),
            settings.platform().timeoutMs(),
            LinkDelay.NONE);
    workers = HttpWorkerGateway.create(traffic, delay);
    peers =
        TcpPeerNetwork.builder(traffic, settings.peer().host(), settings.peer().port())
            .latency(locations::oneWayMicros)
            .traffic(new RegionTraffic(locations, settings.region(), telemetry))
            .tls(keys.peer())
            .seed(settings.node().hashCode())
            .build();
    JsonRowCodec codec = JsonRowCodec.create();
    NodeCore core = createCore(codec);
    loop =
        ControlLoop.create(
            event -> core.handle(event, System.currentTimeMillis()).forEach(this::carryOut),
            telemetry.metrics()::controlEvent,
            settings.node() + "-control");
    effectRunner =
        new EffectRunner(
            platform.table(),
            platform.objects(),
            platform.vms(),
            workers,
            peers,
            telemetry,
            loop::post);
    service =
        new NodeService(
            settings.node(),
            System::currentTimeMillis,
            loop::post,
            new TableQueries(platform.table(), codec),
            TokenAuthenticator.forOperator(operatorToken),
            events,
            telemetry);
    http =
        HttpApiServer.start(
            traffic,
            settings.http().host(),
            settings.http().port(),
            service,
            new NodeProbes(() -> "", () -> notReadyReason, telemetry.metrics()::expose),
            HttpLimits.defaults(),
            keys.http());
    loop.start();
    peers.start(this::receive);
    ticks =
        traffic.scheduleAtFixedRate(
            () -> loop.post(new NodeEvent.Tick()), 0, TICK_MS, TimeUnit.MILLISECONDS);
    maintenance =
        traffic.scheduleWithFixedDelay(
            this::runMaintenance,
            MAINTENANCE_INTERVAL_MS,
            MAINTENANCE_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a node.
   *
   * @param settings its validated settings
   * @param operatorToken the bearer token of operators
   */
  public static Either<StartError, NodeProcess> start(Settings settings, String operatorToken) {
    return NodeTlsKeys.load(settings).flatMap(keys -> start(settings, operatorToken, keys));
  }

  private static Either<StartError, NodeProcess> start(
      Settings settings, String operatorToken, NodeTlsKeys keys) {
    try {
      return Either.right(new NodeProcess(settings, operatorToken, keys));
    } catch (Exception e) {
      // Netty throws the checked exception of a failed bind without declaring it.
      return Either.left(startError(settings, e));
    }
  }

  /** Returns the node's name. */
  public NodeId node() {
    return settings.node();
  }

  /** Returns the TCP port for callers and operators. */
  public int httpPort() {
    return http.port();
  }

  /** Returns the operations that callers and operators can use. */
  public NodeApi api() {
    return service;
  }

  /** Returns the bytes sent to nodes of other regions so far. */
  public long crossRegionBytes() {
    return locations.crossRegionBytes();
  }

  /**
   * Stops the node gracefully: it takes no new work, hands its regions over, answers waiting
   * callers and closes.
   *
   * @return a future that completes with whether everything was handed over within the grace period
   */
  public CompletableFuture<Boolean> stop() {
    loop.post(new NodeEvent.DrainRequested());
    return drained
        .copy()
        .completeOnTimeout(false, settings.shutdownGraceMs(), TimeUnit.MILLISECONDS)
        .thenCompose(
            complete ->
                http.stop(settings.shutdownGraceMs()).thenApply(stopped -> complete && stopped))
        .whenComplete((complete, failure) -> close());
  }

  /** Stops the node at once, as a failure of its VM would. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    ticks.cancel(false);
    maintenance.cancel(false);
    loop.close();
    peers.close();
    workers.close();
    platform.close();
    http.close();
    telemetry.close();
    var unused = traffic.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private NodeCore createCore(JsonRowCodec codec) {
    long startedAtMs = System.currentTimeMillis();
    return NodeCore.builder()
        .identity(
            new NodeIdentity(
                settings.node(),
                settings.region(),
                settings.failureDomain(),
                settings.peer().host(),
                peers.port(),
                settings.http().port(),
                startedAtMs))
        .codec(codec)
        .declarationReader(DeclarationParser.create())
        .random(RandomSource.XO_RO_SHI_RO_128_PP.create(startedAtMs ^ settings.node().hashCode()))
        .limits(
            new NodeLimits(
                settings.limits().maxOpenRequests(),
                settings.limits().heldRequests(),
                settings.limits().heldBytes()))
        .build();
  }

  private void carryOut(NodeEffect effect) {
    if (effect instanceof NodeEffect.UseDeclaration use) {
      locations.add(use.declaration());
    } else if (effect instanceof NodeEffect.SendPeer send) {
      locations.add(send.receiver());
    }
    if (service.deliver(effect) || effectRunner.run(effect)) {
      return;
    }
    if (effect instanceof NodeEffect.Report report) {
      report(report);
    } else if (effect instanceof NodeEffect.ReadinessChanged readiness) {
      notReadyReason = readiness.notReadyReason();
    } else if (effect instanceof NodeEffect.Drained) {
      drained.complete(true);
    }
  }

  private void receive(PeerMessage message) {
    telemetry.recordPeerHop("own", message);
    loop.post(new NodeEvent.PeerMessageReceived(message));
  }

  private void runMaintenance() {
    keys.reload();
    var unused = service.status();
  }

  private void report(NodeEffect.Report report) {
    Logger.info(
        "{} {} {}: {} [{}]",
        report.part(),
        report.kind(),
        report.subject(),
        report.detail(),
        settings.node());
    events.add(System.currentTimeMillis(), report.kind(), report.subject(), report.detail());
  }

  private static StartError startError(Settings settings, Exception failure) {
    if (failure instanceof BindException) {
      return new StartError(
          ExitCode.PORT_IN_USE,
          "cannot listen on "
              + settings.http().host()
              + " port "
              + settings.http().port()
              + " (http) or on "
              + settings.peer().host()
              + " port "
              + settings.peer().port()
              + " (peer): "
              + failure.getMessage());
    }
    return new StartError(ExitCode.INTERNAL_ERROR, "cannot start: " + failure);
  }

  /** Counts the bytes and the dropped messages to each region. */
  private record RegionTraffic(PeerLocations locations, RegionId self, NodeTelemetry telemetry)
      implements PeerTraffic {
    @Override
    public void sent(PeerAddress peer, int sizeBytes) {
      locations.countSent(peer, sizeBytes);
      RegionId region = locations.regionOf(peer);
      if (region != null) {
        telemetry.metrics().peerBytesSent(self, region, sizeBytes);
      }
    }

    @Override
    public void received(NodeId peer, int sizeBytes) {}

    @Override
    public void dropped(PeerAddress peer, int sizeBytes) {
      RegionId region = locations.regionOf(peer);
      if (region != null) {
        telemetry.metrics().peerMessageDropped(region);
      }
    }
  }
}
