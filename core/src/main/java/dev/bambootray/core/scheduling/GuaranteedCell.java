package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkspaceId;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.List;
import java.util.Set;

/**
 * One instance of a guarantee and the accelerators that it is bound to. While no gang uses the
 * cell, it may be rebound to any place that holds its shape.
 */
final class GuaranteedCell {
  final WorkspaceId workspace;
  final Guarantee guarantee;

  /** Accelerators that the cell is bound to; empty while the guarantee is broken. */
  List<AcceleratorRange> ranges = List.of();

  /** Gangs that run within the cell. */
  final Set<Gang> gangs = new ReferenceLinkedOpenHashSet<>(0);

  /** Number of claims that wait for victims to leave the cell. */
  int claims;

  GuaranteedCell(WorkspaceId workspace, Guarantee guarantee) {
    this.workspace = workspace;
    this.guarantee = guarantee;
  }

  Shape shape() {
    return guarantee.shape();
  }

  boolean bound() {
    return !ranges.isEmpty();
  }

  boolean unused() {
    return gangs.isEmpty() && claims == 0;
  }

  /** Binds the cell to the ranges and reserves their resources for it. */
  void bind(List<AcceleratorRange> newRanges) {
    ranges = List.copyOf(newRanges);
    account(1);
  }

  /** Releases the ranges of the cell. */
  void unbind() {
    account(-1);
    ranges = List.of();
  }

  private void account(int sign) {
    for (AcceleratorRange range : ranges) {
      PoolWorker worker = range.worker();
      long mask = AcceleratorMasks.mask(range.first(), shape().acceleratorsPerMember());
      worker.cellMask = sign > 0 ? worker.cellMask | mask : worker.cellMask & ~mask;
      if (shape().members() > 1) {
        worker.wideCellSize = sign > 0 ? shape().totalAccelerators() : 0;
      }
      worker.cellMillicores += sign * shape().millicoresPerMember();
      worker.cellMemoryMib += sign * shape().memoryMibPerMember();
    }
  }
}
