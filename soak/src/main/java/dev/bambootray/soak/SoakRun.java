package dev.bambootray.soak;

import dev.bambootray.soak.wire.StandInStore;
import dev.bambootray.soak.wire.StoreServer;
import dev.bambootray.standins.FreePorts;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One run of the soak: real nodes, stand-ins around them, faults, and checks. */
final class SoakRun {
  private static final long CHECK_MS = 200;

  /** Time for the nodes to start and to agree on an owner before callers arrive. */
  private static final long LEAD_MS = 3_000;

  /** Runs that nobody wants are gone this long after the last job has ended. */
  private static final long QUIET_MS = 3_000;

  /** A signal thread that is interrupted ends at once; this is only not to wait for ever. */
  private static final long SIGNALS_END_S = 10;

  private final long seed;
  private final SoakOptions options;
  private final long startNanos = System.nanoTime();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ScheduledExecutorService signals = Executors.newSingleThreadScheduledExecutor();
  private final PromiseBook book = new PromiseBook();
  private final Map<String, SoakJob> jobs = new LinkedHashMap<>();
  private final StandInStore store;
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<LoopbackProxy> storeLinks = new ArrayList<>();
  private final List<LoopbackProxy> callerLinks = new ArrayList<>();
  private final LoopLag loopLag;
  private int version;

  private SoakRun(long seed, SoakOptions options) {
    this.seed = seed;
    this.options = options;
    store =
        new StandInStore(
            seed,
            (delayMs, action) -> {
              var unusedTimer = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
            },
            this::nowMs);
    loopLag =
        new LoopLag(
            (delayMs, action) -> {
              var unusedTimer = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
            },
            this::nowMs);
  }

  /** Plays one seed and returns what it has shown. */
  static SoakResult play(long seed, SoakOptions options)
      throws IOException, InterruptedException, ExecutionException {
    Files.createDirectories(options.directory());
    return new SoakRun(seed, options).play();
  }

  private long nowMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private SoakResult play() throws IOException, InterruptedException, ExecutionException {
    // A port that no other listener gets while the store is down.
    StoreServer storeServer = StoreServer.start(loop, FreePorts.next(), store, seed);
    SoakWorkers workers =
        new SoakWorkers(group, loop, store, book, this::nowMs, jobs, options.workers(), seed);
    for (int i = 0; i < options.nodes(); i++) {
      storeLinks.add(LoopbackProxy.start(loop, storeServer.port()));
      NodeProcess node =
          NodeProcess.create(
              "node" + i, options.firstJar(), options.directory(), storeLinks.get(i).port());
      nodes.add(node);
      callerLinks.add(LoopbackProxy.start(loop, node.frontPort()));
    }
    SoakCallers callers =
        new SoakCallers(loop, book, this::nowMs, jobs, callerPorts(), seed, options.load());
    // Nodes must not outlive a soak that is interrupted.
    Thread cleanUp = new Thread(this::killNodes, "clean-up");
    Runtime.getRuntime().addShutdownHook(cleanUp);
    try {
      onLoop(
          () -> {
            declare();
            workers.registerAll();
            return 0;
          });
      for (NodeProcess node : nodes) {
        signals.submit(node::start).get();
      }
      TimeUnit.MILLISECONDS.sleep(LEAD_MS);
      disturb(workers, callers, storeServer);
      settle(workers, callers);
      onLoop(callers::askEveryNode).get();
      onLoop(
          () -> {
            book.settle(workers.running());
            return 0;
          });
      checkNodes();
      return onLoop(() -> new SoakResult(seed, book.violations(), counts()));
    } finally {
      signals.shutdownNow();
      // A node that is started after the others were killed would stay for ever.
      signals.awaitTermination(SIGNALS_END_S, TimeUnit.SECONDS);
      killNodes();
      loop.submit(callers::close).get();
      storeLinks.forEach(LoopbackProxy::close);
      callerLinks.forEach(LoopbackProxy::close);
      workers.close();
      storeServer.close();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await();
      Runtime.getRuntime().removeShutdownHook(cleanUp);
    }
  }

  private Map<String, Integer> counts() {
    Map<String, Integer> counts = new HashMap<>(book.counts());
    counts.put("owners", store.owners());
    counts.put("loop lag ms", (int) loopLag.largestMs());
    return counts;
  }

  private void killNodes() {
    for (NodeProcess node : nodes) {
      try {
        node.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** A proxy accepts connections for a node that is down, which would look like lost answers. */
  private List<Integer> callerPorts() {
    return FaultPlan.isPlannedOnly(seed)
        ? nodes.stream().map(NodeProcess::frontPort).toList()
        : callerLinks.stream().map(LoopbackProxy::port).toList();
  }

  private void disturb(SoakWorkers workers, SoakCallers callers, StoreServer storeServer)
      throws IOException, InterruptedException, ExecutionException {
    List<Fault> plan =
        new ArrayList<>(
            FaultPlan.draw(seed, options.nodes(), options.workers(), options.faultsMs()));
    if (options.previousJar() != null) {
      plan.addAll(UpgradePlan.draw(seed, options.nodes(), options.faultsMs()));
      plan.sort(Comparator.comparingLong(Fault::atMs));
    }
    plan.removeIf(fault -> options.without().contains(fault.kind()));
    Files.write(
        options.directory().resolve("plan.txt"), plan.stream().map(Fault::toString).toList());
    var builds = new FaultInjector.Builds(options.jar(), options.firstJar());
    FaultInjector injector =
        new FaultInjector(
            loop,
            signals,
            book,
            this::nowMs,
            new FaultInjector.Targets(
                nodes, storeLinks, callerLinks, workers, store, storeServer, builds),
            this::declare);
    onLoop(
        () -> {
          callers.start(FaultPlan.isPlannedOnly(seed));
          injector.schedule(plan);
          loopLag.start();
          return 0;
        });
    long endMs = options.faultsMs();
    for (Fault fault : plan) {
      endMs = Math.max(endMs, fault.atMs() + fault.forMs());
    }
    TimeUnit.MILLISECONDS.sleep(endMs);
  }

  /** Waits until all accepted jobs are final or the time is over. */
  private void settle(SoakWorkers workers, SoakCallers callers)
      throws InterruptedException, ExecutionException {
    onLoop(
        () -> {
          callers.stopSubmitting();
          return 0;
        });
    long loadEndMs = nowMs();
    long untilMs = loadEndMs + options.settleMs();
    while (nowMs() < untilMs) {
      TimeUnit.MILLISECONDS.sleep(CHECK_MS);
      boolean allFinal =
          onLoop(
              () -> {
                book.checkIdleCapacity(workers.running(), workers.open(), loadEndMs, nowMs());
                return book.open().isEmpty();
              });
      if (allFinal) {
        break;
      }
    }
    TimeUnit.MILLISECONDS.sleep(QUIET_MS);
  }

  private void checkNodes() throws InterruptedException, ExecutionException {
    for (NodeProcess node : nodes) {
      boolean up = signals.submit(node::isUp).get();
      if (!up) {
        String end = signals.submit(node::unexpectedEnd).get();
        onLoop(
            () -> {
              book.violate(node.name(), end.isEmpty() ? "is not running at the end" : end);
              return 0;
            });
      }
    }
  }

  private <T> T onLoop(Callable<T> action) throws InterruptedException, ExecutionException {
    return loop.submit(action).get();
  }

  /** Publishes the next version of the configuration. */
  private void declare() {
    version += 1 + version % 3; // Versions rise in uneven steps.
    store.declare(version);
  }
}
