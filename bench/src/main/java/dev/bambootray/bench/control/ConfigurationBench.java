package dev.bambootray.bench.control;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.declaration.Declaration;

/** Cost of the configuration against changes a day, nodes and declared workers. */
final class ConfigurationBench {
  private static final int TARGET_CHANGES = 4_600;
  private static final int[] CHANGES_A_DAY = {460, TARGET_CHANGES, 46_000};
  private static final int[] NODES = {9, Fleet.FEW_NODES, Fleet.MANY_NODES};
  private static final int[] WORKERS = {400, 1_265, Fleet.WORKERS};

  private ConfigurationBench() {}

  static void run(BenchReport report, ControlTotals totals, boolean quick) {
    int textBytes = 0;
    for (int workers : WORKERS) {
      textBytes = measureText(report, totals, workers);
    }
    long forMs = quick ? 1_200_000 : 14_400_000;
    for (int nodes : NODES) {
      for (int changes : CHANGES_A_DAY) {
        measure(
            report, totals, nodes, changes, textBytes, Math.max(forMs, 4 * 86_400_000L / changes));
      }
    }
    measureCuts(report, quick);
  }

  /** Returns the bytes of the compressed text. */
  private static int measureText(BenchReport report, ControlTotals totals, int workers) {
    Declaration declaration = Fleet.declaration(workers, 1);
    String text = WireSize.json(declaration);
    int deflated = WireSize.deflated(text);
    report.addRow("configuration", "workers", workers, "text bytes", text.length());
    report.addRow("configuration", "workers", workers, "compressed bytes", deflated);
    double parse = Double.MAX_VALUE;
    double compress = Double.MAX_VALUE;
    for (int i = 0; i < 10; i++) {
      double start = CpuMeter.cpuSeconds();
      WireSize.readJson(text);
      double parsed = CpuMeter.cpuSeconds();
      WireSize.deflated(text);
      parse = Math.min(parse, parsed - start);
      compress = Math.min(compress, CpuMeter.cpuSeconds() - parsed);
    }
    report.addRow("configuration", "workers", workers, "parse cpu ms", 1e3 * parse);
    report.addRow("configuration", "workers", workers, "compress cpu ms", 1e3 * compress);
    if (workers == Fleet.WORKERS) {
      double perSecond = TARGET_CHANGES / 86_400.0;
      totals.add(perSecond * (parse + compress), 0, 0);
      report.measure("declaration_frame_bytes", text.length());
      report.measure("uncompressed_offer_bytes_per_second", perSecond * text.length());
    }
    return deflated;
  }

  private static void measure(
      BenchReport report, ControlTotals totals, int nodes, int changes, int textBytes, long forMs) {
    new ConfigurationCluster(nodes, textBytes).run(changes, forMs / 4, false);
    long before = CpuMeter.liveBytes();
    ConfigurationCluster cluster = new ConfigurationCluster(nodes, textBytes);
    double heap = Math.max(0, CpuMeter.liveBytes() - before) / (double) nodes;
    cluster.messages = 0;
    cluster.bytes = 0;
    cluster.tableBytes = 0;
    cluster.tableReads = 0;
    double cpu = CpuMeter.cpuSeconds();
    cluster.run(changes, forMs, false);
    double seconds = forMs / 1e3;
    double share = (CpuMeter.cpuSeconds() - cpu) / nodes / seconds;
    double bytes = (cluster.bytes + cluster.tableBytes) / seconds / nodes;
    String at = nodes + " at " + changes;
    report.addRow(
        "configuration",
        "nodes at changes/day",
        at,
        "messages/s per node",
        cluster.messages / seconds / nodes);
    report.addRow(
        "configuration", "nodes at changes/day", at, "bytes/s per node, compressed", bytes);
    report.addRow("configuration", "nodes at changes/day", at, "cpu % of a core", 100 * share);
    report.addRow(
        "configuration", "nodes at changes/day", at, "table reads/s", cluster.tableReads / seconds);
    report.addRow(
        "configuration", "nodes at changes/day", at, "slowest in force ms", cluster.slowestMs);
    report.measure("configuration_in_force_ms", (double) cluster.slowestMs);
    if (changes == TARGET_CHANGES && nodes == Fleet.FEW_NODES) {
      totals.add(share, heap + 2.0 * Fleet.WORKERS * 1_000, bytes);
    }
    if (changes == TARGET_CHANGES && nodes == Fleet.MANY_NODES) {
      totals.addStore(TARGET_CHANGES / 86_400.0, cluster.tableReads / seconds);
    }
  }

  private static void measureCuts(BenchReport report, boolean quick) {
    for (int nodes : NODES) {
      ConfigurationCluster cluster = new ConfigurationCluster(nodes, 0);
      cluster.run(TARGET_CHANGES, quick ? 1_200_000 : 14_400_000, true);
      report.addRow(
          "configuration", "nodes, one cut off", nodes, "publications accepted", cluster.accepted);
      report.addRow(
          "configuration",
          "nodes, one cut off",
          nodes,
          "served old version ms",
          cluster.servedStaleMs);
      report.measure("configuration_stale_after_acceptance_ms", (double) cluster.servedStaleMs);
    }
  }
}
