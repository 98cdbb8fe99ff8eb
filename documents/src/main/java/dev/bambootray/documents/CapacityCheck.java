package dev.bambootray.documents;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkerId;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
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
  private final Map<RegionId, Long> guaranteed = new HashMap<>();

  private CapacityCheck(Map<RegionId, List<WorkerDeclaration>> byRegion) {
    this.byRegion = byRegion;
  }

  /** Returns the check for the given workers. */
  static CapacityCheck of(Map<WorkerId, WorkerDeclaration> workers) {
    return new CapacityCheck(
        workers.values().stream().collect(Collectors.groupingBy(WorkerDeclaration::region)));
  }

  /** Returns why the shapes can't be guaranteed in the region, or empty if they may fit. */
  Optional<String> objection(RegionId region, Shape shape, int count) {
    List<WorkerDeclaration> workers = byRegion.getOrDefault(region, List.of());
    long asked = (long) shape.totalAccelerators() * count;
    long total = workers.stream().mapToLong(w -> w.capacity().accelerators()).sum();
    if (asked > total) {
      return Optional.of(asked + " accelerators in a region of " + total + " accelerators");
    }
    long members = (long) shape.members() * count;
    long room = room(workers, shape);
    if (members > room) {
      return Optional.of(members + " members where " + room + " fit");
    }
    long largest = largestPart(workers, shape);
    if (shape.members() > largest) {
      return Optional.of(
          shape.members() + " members together where " + largest + " fit in the largest part");
    }
    long sum = guaranteed.merge(region, asked, Long::sum);
    return sum > total
        ? Optional.of(sum + " accelerators guaranteed so far in a region of " + total)
        : Optional.empty();
  }

  private static long largestPart(List<WorkerDeclaration> workers, Shape shape) {
    Adjacency adjacency = shape.adjacency();
    if (adjacency == Adjacency.REGION) {
      return room(workers, shape);
    }
    if (adjacency == Adjacency.FAILURE_DOMAIN) {
      return largest(workers, WorkerDeclaration::failureDomain, shape);
    }
    return largest(workers, WorkerDeclaration::rack, shape);
  }

  private static <K> long largest(
      List<WorkerDeclaration> workers, Function<WorkerDeclaration, K> part, Shape shape) {
    Collection<List<WorkerDeclaration>> parts =
        workers.stream().collect(Collectors.groupingBy(part)).values();
    return parts.stream().mapToLong(list -> room(list, shape)).max().orElse(0);
  }

  private static long room(List<WorkerDeclaration> workers, Shape shape) {
    return workers.stream().mapToLong(worker -> room(worker, shape)).sum();
  }

  private static long room(WorkerDeclaration worker, Shape shape) {
    long room = worker.capacity().accelerators() / Math.max(1, shape.acceleratorsPerMember());
    room =
        Math.min(room, worker.capacity().millicores() / Math.max(1, shape.millicoresPerMember()));
    return Math.min(room, worker.capacity().memoryMib() / Math.max(1, shape.memoryMibPerMember()));
  }
}
