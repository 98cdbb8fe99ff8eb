package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/** Places jobs within guaranteed cells; several small jobs may share a cell. */
final class CellPlacement {
  private CellPlacement() {}

  /**
   * Returns the ranges of a shape within a cell, or an empty list if the shape does not fit.
   *
   * @param cell the cell
   * @param cellRanges the ranges to which the cell is bound or would be bound
   * @param shape the shape of the job
   * @param blocked accelerators of a worker that may not be used
   */
  static List<AcceleratorRange> place(
      GuaranteedCell cell,
      List<AcceleratorRange> cellRanges,
      Shape shape,
      ToLongFunction<PoolWorker> blocked) {
    List<AcceleratorRange> parts = new ArrayList<>(cellRanges);
    parts.sort(
        Comparator.comparingInt((AcceleratorRange s) -> s.worker().index)
            .thenComparingInt(AcceleratorRange::first));
    List<AcceleratorRange> ranges = new ArrayList<>(shape.members());
    for (AcceleratorRange part : parts) {
      long mask =
          AcceleratorMasks.mask(part.first(), cell.shape().acceleratorsPerMember())
              & ~blocked.applyAsLong(part.worker());
      int fit = fit(cell, part, shape, mask);
      for (int i = 0; i < fit && ranges.size() < shape.members(); i++) {
        int first = AcceleratorMasks.bestFit(mask, shape.acceleratorsPerMember());
        ranges.add(new AcceleratorRange(part.worker(), first));
        mask &= ~AcceleratorMasks.mask(first, shape.acceleratorsPerMember());
      }
    }
    return ranges.size() == shape.members() && AdjacencyGroups.satisfies(ranges, shape)
        ? ranges
        : List.of();
  }

  private static int fit(GuaranteedCell cell, AcceleratorRange part, Shape shape, long mask) {
    int fit = AcceleratorMasks.countRuns(mask, shape.acceleratorsPerMember());
    if (fit == 0) {
      return 0;
    }
    long partMask = AcceleratorMasks.mask(part.first(), cell.shape().acceleratorsPerMember());
    int millicores = cell.shape().millicoresPerMember();
    int memoryMib = cell.shape().memoryMibPerMember();
    if (!cell.unused()) {
      for (Member member : part.worker().members) {
        if (member.gang.cell == cell && (member.mask() & partMask) != 0) {
          millicores -= member.resources.millicores();
          memoryMib -= member.resources.memoryMib();
        }
      }
    }
    if (shape.millicoresPerMember() > 0) {
      fit = Math.min(fit, Math.max(0, millicores) / shape.millicoresPerMember());
    }
    if (shape.memoryMibPerMember() > 0) {
      fit = Math.min(fit, Math.max(0, memoryMib) / shape.memoryMibPerMember());
    }
    return fit;
  }
}
