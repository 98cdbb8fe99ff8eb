package dev.bambootray.soak;

import dev.bambootray.soak.LoopbackProxy.Mode;
import dev.bambootray.soak.wire.StandInStore;
import dev.bambootray.soak.wire.StandInStore.Failure;
import dev.bambootray.soak.wire.StoreServer;
import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Carries out faults. Signals are sent on a thread of its own; everything else happens on the event
 * loop. Faults of one target may overlap: each ends its own effect, and a link is well again when
 * the last of its faults has ended.
 */
final class FaultInjector {
  /** Interval at which the book is told that faults go on. */
  private static final long MARK_MS = 100;

  private final EventLoop loop;
  private final ScheduledExecutorService signals;
  private final PromiseBook book;
  private final LongSupplier clock;
  private final List<NodeProcess> nodes;
  private final List<LoopbackProxy> storeLinks;
  private final List<LoopbackProxy> callerLinks;
  private final SoakWorkers workers;
  private final StandInStore store;
  private final StoreServer storeServer;
  private final Builds builds;
  private final Runnable declare;
  private final Map<LoopbackProxy, Map<Mode, Integer>> links = new HashMap<>();
  private int active;

  /**
   * Programs between which nodes change.
   *
   * @param current the build under test
   * @param previous the build that the nodes begin with
   */
  record Builds(Path current, Path previous) {}

  /** Parts that faults act on. */
  record Targets(
      List<NodeProcess> nodes,
      List<LoopbackProxy> storeLinks,
      List<LoopbackProxy> callerLinks,
      SoakWorkers workers,
      StandInStore store,
      StoreServer storeServer,
      Builds builds) {
    Targets {
      nodes = List.copyOf(nodes);
      storeLinks = List.copyOf(storeLinks);
      callerLinks = List.copyOf(callerLinks);
    }
  }

  /**
   * Creates an injector.
   *
   * @param signals one thread that sends signals and starts processes
   * @param declare publishes another version of the configuration, on the loop
   */
  FaultInjector(
      EventLoop loop,
      ScheduledExecutorService signals,
      PromiseBook book,
      LongSupplier clock,
      Targets targets,
      Runnable declare) {
    this.loop = loop;
    this.signals = signals;
    this.book = book;
    this.clock = clock;
    this.declare = declare;
    nodes = targets.nodes();
    storeLinks = targets.storeLinks();
    callerLinks = targets.callerLinks();
    workers = targets.workers();
    store = targets.store();
    storeServer = targets.storeServer();
    builds = targets.builds();
  }

  /** Schedules all faults of a plan, counted from now. */
  void schedule(List<Fault> plan) {
    for (Fault fault : plan) {
      var unusedTimer = loop.schedule(() -> begin(fault), fault.atMs(), TimeUnit.MILLISECONDS);
    }
    var unusedMarks = loop.scheduleAtFixedRate(this::mark, 0, MARK_MS, TimeUnit.MILLISECONDS);
  }

  private void mark() {
    if (active > 0) {
      book.disturbed(clock.getAsLong());
    }
  }

  private void begin(Fault fault) {
    active++;
    mark();
    long forMs = fault.forMs();
    int target = fault.target();
    switch (fault.kind()) {
      case NODE_KILL -> signals.execute(() -> kill(nodes.get(target), forMs));
      case NODE_STOP -> signals.execute(() -> stop(nodes.get(target)));
      case NODE_UPGRADE -> signals.execute(() -> replace(nodes.get(target), builds.current()));
      case NODE_DOWNGRADE -> signals.execute(() -> replace(nodes.get(target), builds.previous()));
      case NODE_PAUSE -> signals.execute(() -> pause(nodes.get(target), forMs));
      case NODE_RELOAD -> signals.execute(nodes.get(target)::reload);
      case ALL_KILL -> signals.execute(() -> nodes.forEach(node -> kill(node, forMs)));
      case STORE_LINK_RESET -> disturb(storeLinks.get(target), Mode.RESET, forMs);
      case STORE_LINK_CUT_THERE -> disturb(storeLinks.get(target), Mode.CUT_THERE, forMs);
      case STORE_LINK_CUT_BACK -> disturb(storeLinks.get(target), Mode.CUT_BACK, forMs);
      case STORE_LINK_DELAY -> disturb(storeLinks.get(target), Mode.DELAY, forMs);
      case STORE_REFUSES -> disturb(Failure.REFUSES, forMs);
      case STORE_SLOW -> disturb(Failure.SLOW, forMs);
      case STORE_LOSES_ANSWERS -> disturb(Failure.LOSES_ANSWERS, forMs);
      case STORE_LATE -> disturb(Failure.LATE, forMs);
      case STORE_COMPACTS -> store.compact();
      case STORE_RESTARTS -> restartStore(forMs);
      case STORE_CLOSES -> closeAfterAnswers(forMs);
      case WORKER_CUT -> disturb(workers.proxy(target), Mode.CUT, forMs);
      case WORKER_CUT_BACK -> disturb(workers.proxy(target), Mode.CUT_BACK, forMs);
      case WORKER_DELAY -> disturb(workers.proxy(target), Mode.DELAY, forMs);
      case WORKER_CRASH -> workers.crash(target, forMs);
      case WORKER_WAVE -> workers.crashSeveral(target, forMs);
      case WORKER_FAILS -> fail(target, forMs);
      case WORKER_HANGS -> hang(target, forMs);
      case WORKER_LEAVES -> workers.drain(target, forMs);
      case REGISTRY_ODD -> leaveOddEntries(forMs);
      case REGISTRY_EXPIRES -> expireEntries(forMs);
      case DOMAIN_CLOSED -> workers.closeDomain(target, forMs);
      case CALLERS_RESET -> callerLinks.get(target).resetAll();
      case DECLARATION -> declare.run();
    }
    later(forMs, () -> active--);
  }

  private void kill(NodeProcess node, long forMs) {
    if (node.isUp()) {
      try {
        node.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      var unusedTimer = signals.schedule(node::start, forMs, TimeUnit.MILLISECONDS);
    }
  }

  /** Stops a node in the planned way and starts it again; other signals wait meanwhile. */
  private void stop(NodeProcess node) {
    if (!node.isUp()) {
      return;
    }
    node.stop();
    try {
      node.awaitEnd(book);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    report(node);
    node.start();
  }

  /** Stops a node and starts it with another program; one that is down gets it at its start. */
  private void replace(NodeProcess node, Path program) {
    node.setProgram(program);
    stop(node);
  }

  private void pause(NodeProcess node, long forMs) {
    node.pause();
    var unusedTimer = signals.schedule(node::resume, forMs, TimeUnit.MILLISECONDS);
  }

  /** Notes a node that ended in another way than it was told to. */
  private void report(NodeProcess node) {
    String end = node.unexpectedEnd();
    if (!end.isEmpty()) {
      loop.execute(() -> book.violate(node.name(), end));
    }
  }

  private void disturb(Failure failure, long forMs) {
    store.begin(failure);
    later(forMs, () -> store.end(failure));
  }

  private void restartStore(long forMs) {
    storeServer.end();
    store.restart();
    later(forMs, this::listenAgain);
  }

  private void listenAgain() {
    var unusedListener =
        storeServer
            .listenAgain()
            .addListener(
                done -> {
                  if (!done.isSuccess() && !storeServer.isDown()) {
                    book.violate("soak", "the store cannot listen again: " + done.cause());
                  }
                });
  }

  private void closeAfterAnswers(long forMs) {
    storeServer.beginToCloseAfterAnswers();
    later(forMs, storeServer::keepAfterAnswers);
  }

  private void disturb(LoopbackProxy link, Mode mode, long forMs) {
    links.computeIfAbsent(link, key -> new EnumMap<>(Mode.class)).merge(mode, 1, Integer::sum);
    link.set(mode);
    later(forMs, () -> calm(link, mode));
  }

  private void calm(LoopbackProxy link, Mode mode) {
    Map<Mode, Integer> modes = links.getOrDefault(link, Map.of());
    modes.computeIfPresent(mode, (key, count) -> count > 1 ? count - 1 : null);
    link.set(modes.keySet().stream().findFirst().orElse(Mode.PASS));
  }

  private void fail(int worker, long forMs) {
    var model = workers.life(worker);
    model.setFailing(true);
    later(forMs, () -> model.setFailing(false));
  }

  private void hang(int worker, long forMs) {
    var model = workers.life(worker);
    model.setHanging(true);
    later(forMs, () -> model.setHanging(false));
  }

  private void expireEntries(long forMs) {
    disturb(Failure.REFUSES, forMs);
    workers.expireEntries();
    later(forMs, workers::renewEntries);
  }

  private void leaveOddEntries(long forMs) {
    List<String> keys = store.leaveOddEntries();
    later(forMs, () -> keys.forEach(store::unregister));
  }

  private void later(long delayMs, Runnable action) {
    var unusedTimer = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }
}
