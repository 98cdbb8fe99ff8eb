package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkspaceId;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.List;
import java.util.Set;

/**
 * One instance of a guarantee, bound late: while no gang uses it, it may move to any equal place.
 */
final class Cell {
  final WorkspaceId workspace;
  final Guarantee guarantee;

  /** Where its members are bound; empty while the guarantee is broken. */
  List<Spot> spots = List.of();

  /** Gangs that run within it. */
  final Set<Gang> gangs = new ReferenceLinkedOpenHashSet<>(0);

  /** Jobs that wait for victims to leave it. */
  int claims;

  Cell(WorkspaceId workspace, Guarantee guarantee) {
    this.workspace = workspace;
    this.guarantee = guarantee;
  }

  Shape shape() {
    return guarantee.shape();
  }

  boolean bound() {
    return !spots.isEmpty();
  }

  boolean unused() {
    return gangs.isEmpty() && claims == 0;
  }

  /** Binds the cell to free space and protects it there. */
  void bind(List<Spot> newSpots) {
    spots = List.copyOf(newSpots);
    account(1);
  }

  /** Gives up the place of the cell. */
  void unbind() {
    account(-1);
    spots = List.of();
  }

  private void account(int sign) {
    for (Spot spot : spots) {
      WorkerSlot worker = spot.worker();
      long mask = Runs.mask(spot.first(), shape().acceleratorsPerMember());
      worker.cellMask = sign > 0 ? worker.cellMask | mask : worker.cellMask & ~mask;
      if (shape().members() > 1) {
        worker.wideCellSize = sign > 0 ? shape().totalAccelerators() : 0;
      }
      worker.cellMillicores += sign * shape().millicoresPerMember();
      worker.cellMemoryMib += sign * shape().memoryMibPerMember();
    }
  }
}
