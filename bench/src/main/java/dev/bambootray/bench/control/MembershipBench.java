package dev.bambootray.bench.control;

import dev.bambootray.bench.report.BenchReport;
import java.util.ArrayList;
import java.util.List;

/** Cost of membership against the number of nodes. */
final class MembershipBench {
  private static final int[] NODES = {9, 13, 26, 52};
  private static final int UNITS = Fleet.DOMAINS;

  private MembershipBench() {}

  static void run(BenchReport report, ControlTotals totals, long seed, boolean quick) {
    long forMs = quick ? 40_000 : 600_000;
    double fewest = Double.NaN;
    for (int nodes : NODES) {
      // The first pass lets the compiler finish, so that the second one shows the steady cost.
      settle(nodes, seed).run(forMs / 4);
      Cost cost = measure(nodes, seed, forMs);
      fewest = Double.isNaN(fewest) ? cost.messagesPerSecond() : fewest;
      report.addRow("membership", "nodes", nodes, "messages/s per node", cost.messagesPerSecond());
      report.addRow("membership", "nodes", nodes, "bytes/s per node", cost.bytesPerSecond());
      report.addRow("membership", "nodes", nodes, "cpu % of a core", 100 * cost.cpuShare());
      report.addRow("membership", "nodes", nodes, "codec cpu % of a core", 100 * cost.codecShare());
      report.addRow("membership", "nodes", nodes, "heap KiB per node", cost.heapBytes() / 1024);
      report.addRow("membership", "nodes", nodes, "oldest load s", cost.loadAgeSeconds());
      report.addRow("membership", "nodes", nodes, "table reads/s", cost.readsPerSecond());
      report.measure("membership_message_growth", cost.messagesPerSecond() / fewest);
      if (nodes == Fleet.FEW_NODES) {
        totals.add(cost.cpuShare() + cost.codecShare(), cost.heapBytes(), cost.bytesPerSecond());
      }
      if (nodes == Fleet.MANY_NODES) {
        totals.addStore(0, cost.readsPerSecond());
      }
    }
    measureDetection(report, seed, quick);
  }

  private static Cost measure(int nodes, long seed, long forMs) {
    long before = CpuMeter.liveBytes();
    MembershipCluster cluster = settle(nodes, seed);
    double heap = Math.max(0, CpuMeter.liveBytes() - before) / (double) nodes;
    cluster.startCounting(false);
    double cpu = CpuMeter.cpuSeconds();
    cluster.run(forMs);
    double cpuShare = (CpuMeter.cpuSeconds() - cpu) / nodes / (forMs / 1e3);
    double perSecond = cluster.messages / (double) nodes / (forMs / 1e3);
    double reads = cluster.tableReads / (forMs / 1e3);
    cluster.startCounting(true);
    cluster.run(forMs / 4);
    double bytes = cluster.bytes / (double) nodes / (forMs / 4e3);
    return new Cost(
        perSecond,
        bytes,
        cpuShare,
        codecShare(cluster.samples, perSecond),
        heap,
        reads,
        cluster.oldestLoadMs() / 1e3);
  }

  /** Each message is written once and read once; a node sends as many as it receives. */
  private static double codecShare(List<byte[]> samples, double perSecond) {
    List<Object> trees = new ArrayList<>();
    samples.forEach(sample -> trees.add(WireSize.tree(sample)));
    double seconds = Double.MAX_VALUE;
    for (int round = 0; round < 5; round++) {
      double cpu = CpuMeter.cpuSeconds();
      trees.forEach(WireSize::encode);
      samples.forEach(WireSize::tree);
      seconds = Math.min(seconds, CpuMeter.cpuSeconds() - cpu);
    }
    return seconds / samples.size() * perSecond;
  }

  private static MembershipCluster settle(int nodes, long seed) {
    MembershipCluster cluster = new MembershipCluster(nodes, UNITS, seed);
    cluster.run(25_000);
    if (!cluster.converged()) {
      throw new IllegalStateException("the nodes did not find each other");
    }
    return cluster;
  }

  private static void measureDetection(BenchReport report, long seed, boolean quick) {
    int runs = quick ? 6 : 100;
    for (int nodes : NODES) {
      long slowest = 0;
      for (int run = 0; run < runs; run++) {
        MembershipCluster cluster = settle(nodes, seed + run);
        cluster.run(37L * run % 500);
        slowest = Math.max(slowest, cluster.failureKnownAfterMs(run % nodes));
      }
      report.addRow("membership", "nodes", nodes, "slowest failure detection ms", slowest);
      report.measure("failure_detection_ms", (double) slowest);
    }
  }

  private record Cost(
      double messagesPerSecond,
      double bytesPerSecond,
      double cpuShare,
      double codecShare,
      double heapBytes,
      double readsPerSecond,
      double loadAgeSeconds) {}
}
