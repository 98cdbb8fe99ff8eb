package dev.bambootray.documents;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkerId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Compares shapes with the capacity of regions.
 *
 * <p>The check is necessary, not sufficient: it counts how many members fit into each part of a
 * region when that part is empty. Whether all guarantees fit together is decided by the scheduler's
 * placement check.
 */
final class CapacityCheck {
  private final Map<RegionId, List<WorkerDeclaration>> byRegion;
  private final Map<RegionId, Long> totals = new HashMap<>();
  private final Map<RegionId, Long> guaranteed = new HashMap<>();
  private final Map<RegionShape, Room> rooms = new HashMap<>();

  private CapacityCheck(Map<RegionId, List<WorkerDeclaration>> byRegion) {
    this.byRegion = byRegion;
    byRegion.forEach(
        (region, workers) ->
            totals.put(region, workers.stream().mapToLong(w -> w.capacity().accelerators()).sum()));
  }

  /** Returns the check for the given workers. */
  static CapacityCheck of(Map<WorkerId, WorkerDeclaration> workers) {
    return new CapacityCheck(
        workers.values().stream().collect(Collectors.groupingBy(WorkerDeclaration::region)));
  }

  /** Returns why the shapes can't be guaranteed in the region, or empty if they may fit. */
  Optional<String> objection(RegionId region, Shape shape, int count) {
    long asked = (long) shape.totalAccelerators() * count;
    long total = totals.getOrDefault(region, 0L);
    if (asked > total) {
      return Optional.of(asked + " accelerators in a region of " + total + " accelerators");
    }
    // Many workspaces guarantee the same shape; counting goes through all workers of the region.
    Room room = rooms.computeIfAbsent(new RegionShape(region, shape), this::count);
    long members = (long) shape.members() * count;
    if (members > room.all()) {
      return Optional.of(members + " members where " + room.all() + " fit");
    }
    if (shape.members() > room.largestPart()) {
      return Optional.of(
          shape.members()
              + " members together where "
              + room.largestPart()
              + " fit in the largest part");
    }
    long sum = guaranteed.merge(region, asked, Long::sum);
    return sum > total
        ? Optional.of(sum + " accelerators guaranteed so far in a region of " + total)
        : Optional.empty();
  }

  private record RegionShape(RegionId region, Shape shape) {}

  /** Members of a shape that fit into an empty region and into the largest of its parts. */
  private record Room(long all, long largestPart) {}

  private Room count(RegionShape key) {
    Map<Object, Long> byPart = new HashMap<>();
    for (WorkerDeclaration worker : byRegion.getOrDefault(key.region(), List.of())) {
      byPart.merge(part(worker, key.shape().adjacency()), room(worker, key.shape()), Long::sum);
    }
    long all = byPart.values().stream().mapToLong(Long::longValue).sum();
    return new Room(all, byPart.values().stream().mapToLong(Long::longValue).max().orElse(0));
  }

  private static Object part(WorkerDeclaration worker, Adjacency adjacency) {
    return switch (adjacency) {
      case ADJACENT_WORKERS, RACK -> worker.rack();
      case FAILURE_DOMAIN -> worker.failureDomain();
      case REGION -> worker.region();
    };
  }

  private static long room(WorkerDeclaration worker, Shape shape) {
    long room = worker.capacity().accelerators() / Math.max(1, shape.acceleratorsPerMember());
    room =
        Math.min(room, worker.capacity().millicores() / Math.max(1, shape.millicoresPerMember()));
    return Math.min(room, worker.capacity().memoryMib() / Math.max(1, shape.memoryMibPerMember()));
  }
}
