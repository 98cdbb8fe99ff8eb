package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkspaceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Binds every instance of every guarantee to accelerators of its own.
 *
 * <p>The bound accelerators are disjoint. The only work on them that must not be stopped is that of
 * the workspace itself within its guarantee. All unused guarantees can therefore be placed at once
 * by stopping only borrowed work.
 */
final class GuaranteePlan {
  private final WorkerPool pool;
  private final PlacementPolicy placement = new BestFitPlacement();
  private final Map<WorkspaceId, List<GuaranteedCell>> cells = new LinkedHashMap<>();

  private final Map<Shape, List<GuaranteedCell>> byShape = new LinkedHashMap<>();

  GuaranteePlan(WorkerPool pool) {
    this.pool = pool;
  }

  /** Replaces the guarantees by those of a declaration; cells in use stay where they are. */
  void declare(Declaration declaration, RegionId region) {
    Map<WorkspaceId, List<GuaranteedCell>> previous = new LinkedHashMap<>(cells);
    cells.clear();
    declaration.workspaces().values().stream()
        .sorted(Comparator.comparing(WorkspaceDeclaration::id))
        .forEach(workspace -> declare(workspace, region, previous));
    byShape.clear();
    for (List<GuaranteedCell> list : cells.values()) {
      list.forEach(c -> byShape.computeIfAbsent(c.shape(), s -> new ArrayList<>()).add(c));
    }
    for (List<GuaranteedCell> dropped : previous.values()) {
      dropped.forEach(this::retire);
    }
  }

  private void declare(
      WorkspaceDeclaration workspace,
      RegionId region,
      Map<WorkspaceId, List<GuaranteedCell>> previous) {
    List<GuaranteedCell> reusable = previous.getOrDefault(workspace.id(), new ArrayList<>());
    reusable.sort(Comparator.comparing(GuaranteedCell::unused));
    List<GuaranteedCell> kept = new ArrayList<>();
    for (Guarantee guarantee : workspace.guarantees()) {
      if (!guarantee.region().equals(region)) {
        continue;
      }
      for (int i = 0; i < guarantee.count(); i++) {
        kept.add(reuse(reusable, workspace.id(), guarantee));
      }
    }
    if (!kept.isEmpty()) {
      cells.put(workspace.id(), kept);
    }
  }

  private static GuaranteedCell reuse(
      List<GuaranteedCell> reusable, WorkspaceId workspace, Guarantee guarantee) {
    for (GuaranteedCell cell : reusable) {
      if (cell.guarantee.equals(guarantee)) {
        reusable.remove(cell);
        return cell;
      }
    }
    return new GuaranteedCell(workspace, guarantee);
  }

  /** Removes a cell that is no longer declared; its gangs continue beyond the guarantee. */
  private void retire(GuaranteedCell cell) {
    for (Gang gang : new ArrayList<>(cell.gangs)) {
      setKind(gang, gang.job.repeatable() ? GrantKind.BORROWED : GrantKind.PINNED);
    }
    cell.gangs.clear();
    if (cell.bound()) {
      pool.unbind(cell);
    }
  }

  /**
   * Binds an unused cell to the accelerators of a gang that an earlier owner started, so that it
   * counts as work within the guarantee again. A gang without a matching cell stays beyond the
   * guarantee.
   */
  void adopt(Gang gang) {
    Shape shape = gang.job.shape;
    List<AcceleratorRange> ranges =
        gang.members.stream().map(m -> new AcceleratorRange(m.worker, m.firstAccelerator)).toList();
    for (GuaranteedCell cell : cellsOf(gang.job.workspace())) {
      boolean equal =
          cell.shape().members() == shape.members()
              && cell.shape().acceleratorsPerMember() == shape.acceleratorsPerMember()
              && cell.shape().millicoresPerMember() >= shape.millicoresPerMember()
              && cell.shape().memoryMibPerMember() >= shape.memoryMibPerMember();
      if (equal
          && cell.unused()
          && !cell.bound()
          && AdjacencyGroups.satisfies(ranges, cell.shape())) {
        pool.bind(cell, ranges);
        gang.cell = cell;
        cell.gangs.add(gang);
        setKind(gang, GrantKind.GUARANTEED);
        return;
      }
    }
  }

  /** Changes the kind of grant under which a gang holds its resources. */
  void setKind(Gang gang, GrantKind kind) {
    List<Member> granted = gang.members.stream().filter(m -> m.worker.members.contains(m)).toList();
    granted.forEach(pool::revoke);
    gang.kind = kind;
    granted.forEach(pool::grant);
  }

  List<GuaranteedCell> cellsOf(WorkspaceId workspace) {
    return cells.getOrDefault(workspace, List.of());
  }

  /** Returns the unused bound cells of a shape, of all workspaces. */
  List<GuaranteedCell> unusedWithShape(Shape shape) {
    List<GuaranteedCell> unused = new ArrayList<>();
    for (GuaranteedCell cell : byShape.getOrDefault(shape, List.of())) {
      if (cell.bound() && cell.unused()) {
        unused.add(cell);
      }
    }
    return unused;
  }

  /** Exchanges the ranges of two unused cells of the same shape. */
  void swap(GuaranteedCell a, GuaranteedCell b) {
    List<AcceleratorRange> rangesOfA = a.ranges;
    List<AcceleratorRange> rangesOfB = b.ranges;
    pool.unbind(a);
    pool.unbind(b);
    pool.bind(a, rangesOfB);
    pool.bind(b, rangesOfA);
  }

  /** Binds an unused cell to other ranges. */
  void move(GuaranteedCell cell, List<AcceleratorRange> ranges) {
    pool.unbind(cell);
    pool.bind(cell, ranges);
  }

  /** Returns the unbound cells. */
  List<GuaranteedCell> broken() {
    List<GuaranteedCell> broken = new ArrayList<>();
    cells.values().forEach(list -> list.stream().filter(c -> !c.bound()).forEach(broken::add));
    return broken;
  }

  /** Unbinds unused cells whose ranges are no longer valid, and binds the unbound cells. */
  void repair() {
    for (List<GuaranteedCell> list : cells.values()) {
      for (GuaranteedCell cell : list) {
        if (cell.bound() && cell.unused() && !isPlaceValid(cell)) {
          pool.unbind(cell);
        }
      }
    }
    List<GuaranteedCell> broken = broken();
    if (!broken.isEmpty() && !bindAll(broken)) {
      rebindUnused();
    }
  }

  private static boolean isPlaceValid(GuaranteedCell cell) {
    for (AcceleratorRange range : cell.ranges) {
      long mask = AcceleratorMasks.mask(range.first(), cell.shape().acceleratorsPerMember());
      PoolWorker worker = range.worker();
      if (!worker.takesWork()
          || (worker.nonPreemptibleMask & mask) != 0
          || worker.pinnedMillicores + worker.cellMillicores > worker.millicores
          || worker.pinnedMemoryMib + worker.cellMemoryMib > worker.memoryMib) {
        return false;
      }
    }
    return true;
  }

  private boolean bindAll(List<GuaranteedCell> unbound) {
    boolean all = true;
    unbound.sort(
        Comparator.comparing(GuaranteedCell::shape, GuaranteePlan::compareByPlacementDifficulty));
    for (GuaranteedCell cell : unbound) {
      List<AcceleratorRange> ranges =
          placement.place(pool, cell.shape(), CapacityView.BINDABLE, worker -> true);
      if (ranges.isEmpty()) {
        all = false;
      } else {
        pool.bind(cell, ranges);
      }
    }
    return all;
  }

  /** Rebinds all unused cells, hardest first; restores the old ranges if fewer could be bound. */
  private void rebindUnused() {
    Map<GuaranteedCell, List<AcceleratorRange>> before = new LinkedHashMap<>();
    List<GuaranteedCell> movable = new ArrayList<>();
    for (List<GuaranteedCell> list : cells.values()) {
      for (GuaranteedCell cell : list) {
        if (cell.unused()) {
          movable.add(cell);
          if (cell.bound()) {
            before.put(cell, cell.ranges);
            pool.unbind(cell);
          }
        }
      }
    }
    bindAll(movable);
    long bound = movable.stream().filter(GuaranteedCell::bound).count();
    if (bound < before.size()) {
      movable.stream().filter(GuaranteedCell::bound).forEach(pool::unbind);
      before.forEach(pool::bind);
    }
  }

  /** Orders shapes so that those with the fewest possible places come first. */
  static int compareByPlacementDifficulty(Shape a, Shape b) {
    int total = Integer.compare(b.totalAccelerators(), a.totalAccelerators());
    if (total != 0) {
      return total;
    }
    int run = Integer.compare(b.acceleratorsPerMember(), a.acceleratorsPerMember());
    return run != 0 ? run : a.adjacency().compareTo(b.adjacency());
  }
}
