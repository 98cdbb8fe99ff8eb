package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.WorkerId;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * One worker of the pool with its capacity and the grants on it.
 *
 * <p>The masks hold one bit for each accelerator. Grants, not usage reports, decide what is free.
 */
final class PoolWorker {
  final WorkerId id;
  final int index;
  final RackGroup rack;
  final int position;
  final int accelerators;
  final int millicores;
  final int memoryMib;
  final long allMask;

  /** Accelerators granted to members, whether or not they still run. */
  long usedMask;

  /** Accelerators granted to members that a claim must not preempt. */
  long nonPreemptibleMask;

  /** Accelerators of guaranteed cells bound to this worker, used or not. */
  long cellMask;

  /** Accelerators kept for a claim whose victims are still stopping. */
  long heldMask;

  int usedMillicores;
  int usedMemoryMib;

  /** Resources of members that a claim must not preempt and that run outside guaranteed cells. */
  int pinnedMillicores;

  int pinnedMemoryMib;
  int heldMillicores;
  int heldMemoryMib;

  /** Accelerators of the largest cell that spans this and other workers; 0 for none. */
  int wideCellSize;

  int cellMillicores;
  int cellMemoryMib;
  boolean joined;
  boolean leaving;
  boolean quarantined;

  /** Whether the worker is being probed after a quarantine and takes one small job at a time. */
  boolean probation;

  /**
   * Earliest time of the next placement here, after the worker refused a member or did not answer.
   */
  long notBeforeMs;

  /** Reservation that later jobs must not delay, or null. */
  @Nullable Reservation reservation;

  final Set<Member> members = new ReferenceLinkedOpenHashSet<>();

  PoolWorker(WorkerDeclaration declaration, int index, RackGroup rack) {
    Resources capacity = declaration.capacity();
    if (capacity.accelerators() > AcceleratorMasks.MAX_ACCELERATORS) {
      throw new IllegalArgumentException(
          "worker " + declaration.id() + " has more than 64 accelerators");
    }
    this.id = declaration.id();
    this.index = index;
    this.rack = rack;
    this.position = declaration.positionInRack();
    this.accelerators = capacity.accelerators();
    this.millicores = capacity.millicores();
    this.memoryMib = capacity.memoryMib();
    this.allMask = AcceleratorMasks.mask(0, accelerators);
  }

  /** Returns whether new members may be placed here. */
  boolean takesWork() {
    return joined && !leaving && !quarantined;
  }

  /** Returns the accelerators that are neither granted nor held. */
  long freeMask() {
    return allMask & ~usedMask & ~heldMask;
  }

  /** Returns the free accelerators outside guaranteed cells. */
  long spareMask() {
    return freeMask() & ~cellMask;
  }

  int freeMillicores() {
    return millicores - usedMillicores - heldMillicores;
  }

  int freeMemoryMib() {
    return memoryMib - usedMemoryMib - heldMemoryMib;
  }

  /** Adds the grant of a member. */
  void grant(Member member) {
    members.add(member);
    account(member, 1);
    usedMask |= member.mask();
    if (member.gang.kind != GrantKind.BORROWED) {
      nonPreemptibleMask |= member.mask();
    }
  }

  /** Removes the grant of a member. */
  void revoke(Member member) {
    if (members.remove(member)) {
      account(member, -1);
      usedMask &= ~member.mask();
      nonPreemptibleMask &= ~member.mask();
    }
  }

  private void account(Member member, int sign) {
    usedMillicores += sign * member.resources.millicores();
    usedMemoryMib += sign * member.resources.memoryMib();
    if (member.gang.kind == GrantKind.PINNED) {
      pinnedMillicores += sign * member.resources.millicores();
      pinnedMemoryMib += sign * member.resources.memoryMib();
    }
  }
}
