package dev.bambootray.core.scheduling;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.BitSet;

/**
 * Indexes workers by their longest available run, and counts available accelerators, in one view.
 */
final class SpotIndex {
  private final View view;
  private final Pool pool;
  private final BitSet[] byLongest = new BitSet[Runs.MAX_ACCELERATORS + 1];
  private final IntArrayList longest = new IntArrayList();
  private final IntArrayList open = new IntArrayList();
  private final IntArrayList rackOpen = new IntArrayList();
  private int total;

  SpotIndex(View view, Pool pool) {
    this.view = view;
    this.pool = pool;
    for (int i = 0; i < byLongest.length; i++) {
      byLongest[i] = new BitSet();
    }
  }

  /** Updates the entries of one worker. */
  void refresh(WorkerSlot worker) {
    while (longest.size() <= worker.index) {
      longest.add(0);
      open.add(0);
    }
    while (rackOpen.size() < pool.racks.size()) {
      rackOpen.add(0);
    }
    long mask = view.mask(worker);
    int run = Runs.longest(mask);
    byLongest[longest.getInt(worker.index)].clear(worker.index);
    byLongest[run].set(worker.index);
    longest.set(worker.index, run);
    int change = Long.bitCount(mask) - open.getInt(worker.index);
    open.set(worker.index, open.getInt(worker.index) + change);
    rackOpen.set(worker.rack.index, rackOpen.getInt(worker.rack.index) + change);
    total += change;
  }

  /** Returns the workers whose longest run has exactly the given length. */
  BitSet withLongest(int run) {
    return byLongest[run];
  }

  int openInRack(RackGroup rack) {
    return rackOpen.getInt(rack.index);
  }

  int openIn(WorkerSlot worker) {
    return open.getInt(worker.index);
  }

  int total() {
    return total;
  }
}
