package dev.bambootray.bench.routing;

import com.sun.management.ThreadMXBean;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.routing.QueuedRequest;
import dev.bambootray.core.routing.RouterEffect;
import dev.bambootray.core.routing.RouterEvent;
import dev.bambootray.core.routing.TargetRouter;
import dev.bambootray.core.worker.TaskId;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Measures the time and the allocation of the router's {@code handle} by kind of event. One region
 * serves requests at a steady load; events are created before each measured block, so only the
 * router is measured.
 */
final class RouterCost {
  private static final int WARM_UP = 200_000;
  private static final int REQUESTS = 300_000;
  private static final long RUN_NANOS = 100_000_000;
  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /** Cost of one kind of event. */
  private static final class Cost {
    final Histogram nanos = new Histogram(1_000_000_000L, 3);
    long allocatedBytes;
  }

  private final TargetRouter router;
  private final int queued;
  private final Map<String, Cost> costs = new TreeMap<>();
  private final Deque<TaskId> running = new ArrayDeque<>();
  private final long overheadBytes;
  private boolean measuring;
  private long nowNanos;

  private RouterCost(int targets, int queued) {
    this.queued = queued;
    UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1L);
    router =
        TargetRouter.builder()
            .region(BenchDeclaration.region(0))
            .declaration(BenchDeclaration.create(targets, withoutHedges()))
            .owner(NodeId.of("node-0"))
            .epoch(1)
            .random(random)
            .build();
    for (int i = 0; i < targets; i++) {
      router.handle(
          new RouterEvent.TargetJoined(BenchDeclaration.worker(i)), BenchDeclaration.START_MS);
    }
    overheadBytes = overheadBytes();
  }

  private static PolicyDeclaration withoutHedges() {
    PolicyDeclaration policy = PolicyDeclaration.defaults();
    return new PolicyDeclaration(
        policy.completionTimeWeight(),
        policy.fragmentationWeight(),
        policy.shareHalfLifeMs(),
        policy.ageingMs(),
        policy.ejectionMaxShare(),
        policy.retryBudgetShare(),
        1,
        policy.spillHysteresisMs());
  }

  /** Prints the cost with the given number of targets, at 85% load or behind a queue. */
  static void print(PrintStream out, int targets, int queued) {
    RouterCost cost = new RouterCost(targets, queued);
    cost.fill(queued > 0 ? targets * Topology.SLOTS + queued : (int) (targets * 6.8));
    cost.serve(WARM_UP);
    cost.measuring = true;
    cost.serve(REQUESTS);
    cost.report(out, targets);
  }

  private void fill(int requests) {
    for (int i = 0; i < requests; i++) {
      handle(new RouterEvent.RequestQueued(request(i)));
    }
  }

  /** Ends the oldest run and queues a request, again and again; each run takes about 100 ms. */
  private void serve(int requests) {
    long stepNanos = RUN_NANOS / running.size();
    for (int i = 0; i < requests; i++) {
      nowNanos += stepNanos;
      TaskId oldest = running.removeFirst();
      handle(new RouterEvent.RunAnswered(oldest, "1"));
      handle(new RouterEvent.RequestQueued(request(i)));
      if (i % 20 == 0) {
        handle(new RouterEvent.Tick());
      }
    }
  }

  private QueuedRequest request(int index) {
    return BenchDeclaration.request(
        new Workload.Arrival(
            index + (measuring ? WARM_UP * 2 : WARM_UP),
            nowNanos / 1_000,
            0,
            index % 4,
            true,
            0,
            0,
            0));
  }

  private void handle(RouterEvent event) {
    long nowMs = BenchDeclaration.START_MS + nowNanos / 1_000_000;
    long bytesBefore = THREADS.getCurrentThreadAllocatedBytes();
    long before = System.nanoTime();
    List<RouterEffect> effects = router.handle(event, nowMs);
    long tookNanos = System.nanoTime() - before;
    long bytes = THREADS.getCurrentThreadAllocatedBytes() - bytesBefore - overheadBytes;
    if (measuring) {
      Cost cost = costs.computeIfAbsent(event.getClass().getSimpleName(), key -> new Cost());
      cost.nanos.recordValue(Math.min(tookNanos, 1_000_000_000L));
      cost.allocatedBytes += bytes;
    }
    List<TaskId> started = new ArrayList<>(1);
    for (RouterEffect effect : effects) {
      if (effect instanceof RouterEffect.RunOnTarget run) {
        started.add(run.task());
      } else if (!(effect instanceof RouterEffect.CompleteRequest)) {
        throw new IllegalStateException("unexpected effect in steady load: " + effect);
      }
    }
    running.addAll(started);
  }

  private static long overheadBytes() {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 1_000; i++) {
      long before = THREADS.getCurrentThreadAllocatedBytes();
      least = Math.min(least, THREADS.getCurrentThreadAllocatedBytes() - before);
    }
    return least;
  }

  private void report(PrintStream out, int targets) {
    long nanos = 0;
    long bytes = 0;
    for (Map.Entry<String, Cost> entry : costs.entrySet()) {
      Cost cost = entry.getValue();
      long events = cost.nanos.getTotalCount();
      nanos += (long) (cost.nanos.getMean() * events);
      bytes += cost.allocatedBytes;
      out.println(
          String.format(
              Locale.ROOT,
              "%4d targets, %5d queued, %-14s mean %6.0f ns  p50 %6d ns  p99 %6d ns  %6.0f B",
              targets,
              queued,
              entry.getKey(),
              cost.nanos.getMean(),
              cost.nanos.getValueAtPercentile(50),
              cost.nanos.getValueAtPercentile(99),
              cost.allocatedBytes / (double) events));
    }
    out.println(
        String.format(
            Locale.ROOT,
            "%4d targets, %5d queued, per request   %6.0f ns  %6.0f B",
            targets,
            queued,
            nanos / (double) REQUESTS,
            bytes / (double) REQUESTS));
  }
}
