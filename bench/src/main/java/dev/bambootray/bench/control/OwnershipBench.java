package dev.bambootray.bench.control;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.ownership.OwnerRow;
import dev.bambootray.core.ownership.OwnershipEffect;
import dev.bambootray.core.ownership.OwnershipEvent;
import dev.bambootray.core.ownership.RegionOwnership;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Cost of ownership against the number of owned units and nodes. */
final class OwnershipBench {
  private static final int[][] UNITS_AND_NODES = {
    {3, 9}, {5, 13}, {13, 13}, {13, 26}, {26, 26}, {52, 26}
  };
  private static final long STORE_MS = 10;

  /** As measured by the membership benchmark. */
  private static final long DETECTION_MS = 2_500;

  private static final int OWNER_ROW_BYTES = 220;

  private final VirtualClock clock = new VirtualClock();
  private final Map<NodeId, RegionOwnership> nodes = new TreeMap<>();
  private final Map<RegionId, OwnerRow> table = new TreeMap<>();
  private long reads;
  private long rowsRead;
  private long writes;
  private final Map<RegionId, Long> gainedMs = new HashMap<>();
  private final List<MemberState> members;

  private OwnershipBench(int units, int size, long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    // The unit of ownership takes the place of the region; each node is local to one unit.
    List<RegionId> regions =
        IntStream.range(0, units).mapToObj(i -> RegionId.of("unit-" + i)).toList();
    members =
        IntStream.range(0, size)
            .mapToObj(i -> member(i, regions.get(i % units), MemberStatus.ALIVE))
            .toList();
    for (MemberState member : members) {
      nodes.put(member.node(), RegionOwnership.create(member, random));
    }
    for (NodeId node : nodes.keySet()) {
      offer(node, new OwnershipEvent.RegionsDeclared(Set.copyOf(regions)));
      offer(node, new OwnershipEvent.MembersChanged(members));
    }
    clock.every(100, () -> nodes.keySet().forEach(n -> offer(n, new OwnershipEvent.Tick())));
    clock.run(60_000);
  }

  static void run(BenchReport report, ControlTotals totals, long seed, boolean quick) {
    long forMs = quick ? 120_000 : 1_200_000;
    for (int[] size : UNITS_AND_NODES) {
      int units = size[0];
      int count = size[1];
      new OwnershipBench(units, count, seed).clock.run(forMs / 4);
      long before = CpuMeter.liveBytes();
      OwnershipBench bench = new OwnershipBench(units, count, seed);
      double heap = Math.max(0, CpuMeter.liveBytes() - before) / (double) count;
      bench.reads = 0;
      bench.rowsRead = 0;
      bench.writes = 0;
      double cpu = CpuMeter.cpuSeconds();
      bench.clock.run(forMs);
      double seconds = forMs / 1e3;
      double share = (CpuMeter.cpuSeconds() - cpu) / count / seconds;
      double bytes = (bench.rowsRead + bench.writes) * OWNER_ROW_BYTES / seconds / count;
      String at = units + " on " + count;
      report.addRow("ownership", "units on nodes", at, "table writes/s", bench.writes / seconds);
      report.addRow("ownership", "units on nodes", at, "table reads/s", bench.reads / seconds);
      report.addRow("ownership", "units on nodes", at, "table bytes/s per node", bytes);
      report.addRow("ownership", "units on nodes", at, "cpu % of a core", 100 * share);
      report.addRow("ownership", "units on nodes", at, "heap KiB per node", heap / 1024);
      long slowest = 0;
      for (int run = 0; run < (quick ? 11 : 100); run++) {
        slowest = Math.max(slowest, new OwnershipBench(units, count, seed + run).takeoverMs(run));
      }
      report.addRow("ownership", "units on nodes", at, "slowest takeover ms", slowest);
      if (units == Fleet.DOMAINS && count == Fleet.FEW_NODES) {
        totals.add(share, heap, bytes);
      }
      report.measure("takeover_ms", (double) slowest);
      if (units == Fleet.DOMAINS && count == Fleet.MANY_NODES) {
        totals.addStore(bench.writes / seconds, bench.reads / seconds);
      }
    }
  }

  /** Ends an owner and returns after how long all its units have another one. */
  private long takeoverMs(int run) {
    clock.run(97L * run % 1_000);
    NodeId victim =
        nodes.keySet().stream().filter(node -> !owned(node).isEmpty()).findFirst().orElseThrow();
    List<RegionId> orphans = owned(victim);
    nodes.remove(victim);
    gainedMs.clear();
    long failedMs = clock.nowMs();
    clock.run(DETECTION_MS);
    List<MemberState> changed =
        members.stream()
            .map(
                member ->
                    member.node().equals(victim)
                        ? member(members.indexOf(member), member.region(), MemberStatus.DEAD)
                        : member)
            .toList();
    nodes.keySet().forEach(id -> offer(id, new OwnershipEvent.MembersChanged(changed)));
    clock.run(8_000);
    return orphans.stream()
            .mapToLong(unit -> gainedMs.getOrDefault(unit, Long.MAX_VALUE))
            .max()
            .orElse(0)
        - failedMs;
  }

  private List<RegionId> owned(NodeId node) {
    RegionOwnership ownership = nodes.get(node);
    return ownership == null
        ? List.of()
        : ownership.owned().stream().map(Ownership::region).toList();
  }

  private static MemberState member(int i, RegionId unit, MemberStatus status) {
    MemberState node = Fleet.node(i, 1);
    return new MemberState(
        node.node(),
        unit,
        node.failureDomain(),
        node.host(),
        node.peerPort(),
        node.httpPort(),
        1,
        status);
  }

  private void offer(NodeId id, OwnershipEvent event) {
    RegionOwnership node = nodes.get(id);
    if (node == null) {
      return;
    }
    for (OwnershipEffect effect : node.handle(event, clock.nowMs())) {
      if (effect instanceof OwnershipEffect.ReadOwners) {
        reads++;
        rowsRead += table.size();
        List<OwnerRow> rows = List.copyOf(table.values());
        clock.after(STORE_MS, () -> offer(id, new OwnershipEvent.OwnersRead(rows)));
      } else if (effect instanceof OwnershipEffect.ReadOwner read) {
        reads++;
        rowsRead++;
        OwnerRow row = row(read.region());
        clock.after(STORE_MS, () -> offer(id, new OwnershipEvent.OwnerRead(row)));
      } else if (effect instanceof OwnershipEffect.WriteOwner write) {
        writes++;
        OwnershipEvent answer = write(write);
        clock.after(STORE_MS, () -> offer(id, answer));
      } else if (effect instanceof OwnershipEffect.OwnershipGained gained) {
        gainedMs.putIfAbsent(gained.ownership().region(), clock.nowMs());
      }
    }
  }

  private OwnershipEvent write(OwnershipEffect.WriteOwner write) {
    OwnerRow present = row(write.row().region());
    OwnerRow row = write.row();
    if (present.rowVersion() != row.rowVersion()) {
      return new OwnershipEvent.OwnerWriteConflicted(write.writeToken(), present);
    }
    long version = row.rowVersion() + 1;
    table.put(
        row.region(),
        new OwnerRow(row.region(), row.owner(), row.epoch(), row.expiresAtMs(), version));
    return new OwnershipEvent.OwnerWritten(write.writeToken(), version);
  }

  private OwnerRow row(RegionId region) {
    return table.getOrDefault(region, OwnerRow.absent(region));
  }
}
