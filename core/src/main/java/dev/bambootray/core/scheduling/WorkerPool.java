package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RackId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.WorkerId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Holds the workers of a region by rack and failure domain, with indexes for placement searches.
 */
final class WorkerPool {
  final List<PoolWorker> workers = new ArrayList<>();
  final List<RackGroup> racks = new ArrayList<>();
  final Map<FailureDomainId, List<RackGroup>> domains = new LinkedHashMap<>();
  final FreeCapacityIndex free = new FreeCapacityIndex(CapacityView.FREE, this);
  final FreeCapacityIndex spare = new FreeCapacityIndex(CapacityView.SPARE, this);
  private final Map<WorkerId, PoolWorker> byId = new HashMap<>();
  private final Map<RackId, RackGroup> racksById = new HashMap<>();

  private int totalAccelerators;
  private long totalMillicores;
  private long totalMemoryMib;

  /** Returns the pool of a region in which no worker has joined yet. */
  static WorkerPool of(Declaration declaration, RegionId region) {
    WorkerPool pool = new WorkerPool();
    pool.addMissing(declaration, region);
    return pool;
  }

  /** Adds the declared workers that the pool does not have yet. */
  void addMissing(Declaration declaration, RegionId region) {
    declaration.workers().values().stream()
        .filter(w -> w.region().equals(region) && !byId.containsKey(w.id()))
        .sorted(
            Comparator.comparing(WorkerDeclaration::failureDomain)
                .thenComparing(WorkerDeclaration::rack)
                .thenComparingInt(WorkerDeclaration::positionInRack))
        .forEach(this::add);
  }

  private void add(WorkerDeclaration declaration) {
    RackGroup rack =
        racksById.computeIfAbsent(
            declaration.rack(), id -> addRack(id, declaration.failureDomain()));
    PoolWorker worker = new PoolWorker(declaration, workers.size(), rack);
    workers.add(worker);
    rack.add(worker);
    byId.put(worker.id, worker);
    totalAccelerators += worker.accelerators;
    totalMillicores += worker.millicores;
    totalMemoryMib += worker.memoryMib;
    refresh(worker);
  }

  private RackGroup addRack(RackId id, FailureDomainId domain) {
    RackGroup rack = new RackGroup(id, domain, racks.size());
    racks.add(rack);
    domains.computeIfAbsent(domain, d -> new ArrayList<>()).add(rack);
    return rack;
  }

  int totalAccelerators() {
    return totalAccelerators;
  }

  long totalMillicores() {
    return totalMillicores;
  }

  long totalMemoryMib() {
    return totalMemoryMib;
  }

  @Nullable PoolWorker find(WorkerId id) {
    return byId.get(id);
  }

  /** Updates the indexes after a change of the worker. */
  void refresh(PoolWorker worker) {
    free.refresh(worker);
    spare.refresh(worker);
  }

  void grant(Member member) {
    member.worker.grant(member);
    refresh(member.worker);
  }

  void revoke(Member member) {
    member.worker.revoke(member);
    refresh(member.worker);
  }

  void bind(GuaranteedCell cell, List<AcceleratorRange> ranges) {
    cell.bind(ranges);
    ranges.forEach(range -> refresh(range.worker()));
  }

  void unbind(GuaranteedCell cell) {
    List<AcceleratorRange> ranges = cell.ranges;
    cell.unbind();
    ranges.forEach(range -> refresh(range.worker()));
  }

  /** Holds the resources of ranges for a claim, or releases them. */
  void hold(List<AcceleratorRange> ranges, Resources perMember, boolean held) {
    int sign = held ? 1 : -1;
    for (AcceleratorRange range : ranges) {
      long mask = AcceleratorMasks.mask(range.first(), perMember.accelerators());
      PoolWorker worker = range.worker();
      worker.heldMask = held ? worker.heldMask | mask : worker.heldMask & ~mask;
      worker.heldMillicores += sign * perMember.millicores();
      worker.heldMemoryMib += sign * perMember.memoryMib();
      refresh(worker);
    }
  }

  /** Returns the index of the view, or null if the view has none. */
  @Nullable FreeCapacityIndex index(CapacityView view) {
    return switch (view) {
      case FREE -> free;
      case SPARE -> spare;
      case BINDABLE, STOPPABLE, DECLARED -> null;
    };
  }
}
