package dev.bambootray.bench.control;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import dev.bambootray.core.worker.TaskUsage;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerEvent;
import dev.bambootray.core.worker.WorkerReply;
import java.util.ArrayList;
import java.util.List;

/**
 * Bytes and processor time of polling the events of workers, worked out from the encoded sizes; the
 * cost of sockets and of HTTP parsing is not in it.
 */
final class WorkerPollingBench {
  private static final double POLL_SECONDS = 10;

  /** A longer hold, as a change of design to compare with. */
  private static final double LONG_POLL_SECONDS = 30;

  private static final int TASKS = 45_000;

  /** Tasks run for hours; four hours stand for "most of them hours long". */
  private static final double RUN_SECONDS = 4 * 3_600;

  /** A task tells that it is reserved, runs, and ended. */
  private static final int EVENTS_PER_TASK = 3;

  /** Request line and headers of one exchange, both ways, with host, type, length and token. */
  private static final int HTTP_BYTES = 420;

  private static final int WIRE_BYTES = 2 * WireSize.MESSAGE_OVERHEAD_BYTES;

  private WorkerPollingBench() {}

  static void run(BenchReport report, ControlTotals totals) {
    int perWorker = TASKS / Fleet.WORKERS;
    for (int workers : new int[] {Fleet.WORKERS / 13, Fleet.WORKERS / 5, Fleet.WORKERS}) {
      Cost idle = cost(workers, 0, POLL_SECONDS);
      Cost usage = cost(workers, perWorker, POLL_SECONDS);
      report.addRow(
          "worker polling", "workers per owner", workers, "polls/s", workers / POLL_SECONDS);
      report.addRow(
          "worker polling", "workers per owner", workers, "bytes/s without usage", idle.bytes());
      report.addRow(
          "worker polling", "workers per owner", workers, "bytes/s with usage", usage.bytes());
      Cost leaner = cost(workers, 1, LONG_POLL_SECONDS);
      report.addRow(
          "worker polling",
          "workers per owner",
          workers,
          "bytes/s at 30 s, a tenth of usage",
          leaner.bytes());
      report.addRow(
          "worker polling",
          "workers per owner",
          workers,
          "codec cpu % of a core",
          100 * usage.cpuShare());
      report.addRow(
          "worker polling",
          "workers per owner",
          workers,
          "bytes to adopt all",
          adoption(workers, perWorker));
      if (workers == Fleet.WORKERS / 5) {
        report.measure("polling_bytes_per_second_owner_of_region", usage.bytes());
      }
      if (workers == Fleet.WORKERS / 13) {
        report.measure("polling_bytes_per_second_owner_of_domain", usage.bytes());
        totals.add(usage.cpuShare(), 0, usage.bytes());
      }
    }
  }

  /** Bytes of taking over a unit: each worker tells all its tasks once. */
  private static long adoption(int workers, int tasks) {
    List<TaskSnapshot> snapshots = new ArrayList<>();
    for (int i = 0; i < tasks; i++) {
      snapshots.add(snapshot(i));
    }
    Ownership claim = new Ownership(RegionId.of("region-1"), Fleet.node(1, 0).node(), 12);
    int command = WireSize.json(new WorkerCommand.Adopt(claim)).length();
    int reply =
        WireSize.json(new WorkerReply.Adopted(snapshots, 123_456, false, 3_600_000)).length();
    return (long) workers * (command + reply + HTTP_BYTES + WIRE_BYTES);
  }

  private static Cost cost(int workers, int reportedTasks, double pollSeconds) {
    Ownership claim = new Ownership(RegionId.of("region-1"), Fleet.node(1, 0).node(), 12);
    WorkerCommand poll = new WorkerCommand.PollEvents(claim, 123_456, 10_000, 30_000);
    List<TaskUsage> usage = new ArrayList<>();
    for (int i = 0; i < reportedTasks; i++) {
      usage.add(new TaskUsage(task(i), new Resources(1, 3_900, 8_100), 4_000));
    }
    WorkerReply quiet = new WorkerReply.Events(List.of(), usage, false);
    WorkerReply event =
        new WorkerReply.Events(List.of(new WorkerEvent(123_457, snapshot(1))), List.of(), false);
    int pollBytes = WireSize.json(poll).length() + HTTP_BYTES + WIRE_BYTES;
    double polls = workers / pollSeconds;
    double tasks = (double) TASKS * workers / Fleet.WORKERS;
    double events = EVENTS_PER_TASK * tasks / RUN_SECONDS;
    double bytes =
        polls * (pollBytes + WireSize.json(quiet).length())
            + events * (pollBytes + WireSize.json(event).length());
    double cpu = polls * codecSeconds(poll, quiet) + events * codecSeconds(poll, event);
    return new Cost(bytes, cpu);
  }

  private static double codecSeconds(Object command, Object reply) {
    String text = WireSize.json(reply);
    int rounds = 2_000;
    double best = Double.MAX_VALUE;
    for (int pass = 0; pass < 5; pass++) {
      double start = CpuMeter.cpuSeconds();
      for (int i = 0; i < rounds; i++) {
        WireSize.json(command);
        WireSize.readJson(text);
      }
      best = Math.min(best, (CpuMeter.cpuSeconds() - start) / rounds);
    }
    return best;
  }

  private static TaskId task(int i) {
    return new TaskId(AttemptToken.of("region-1.12.node-001." + (100_000 + i)), i % 64);
  }

  private static TaskSnapshot snapshot(int i) {
    return new TaskSnapshot(
        task(i),
        RequestKey.of("team-17", "order-2026-12-0123456789"),
        TemplateId.of("template-3"),
        16,
        2,
        new Resources(2, 4_000, 8_192),
        TaskPhase.FINISHED,
        "{\"object\":\"results/team-17/order-2026-12-0123456789\"}",
        3_600_000);
  }

  private record Cost(double bytes, double cpuShare) {}
}
