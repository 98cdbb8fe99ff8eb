package dev.bambootray.core.scheduling;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.BitSet;

/**
 * Indexes workers by their longest available run, and counts available accelerators, in one view.
 */
final class FreeCapacityIndex {
  private final CapacityView view;
  private final WorkerPool pool;
  private final BitSet[] workersByLongestRun = new BitSet[AcceleratorMasks.MAX_ACCELERATORS + 1];
  private final IntArrayList longestRuns = new IntArrayList();
  private final IntArrayList freeOnWorker = new IntArrayList();
  private final IntArrayList freeInRackCounts = new IntArrayList();
  private int total;

  FreeCapacityIndex(CapacityView view, WorkerPool pool) {
    this.view = view;
    this.pool = pool;
    for (int i = 0; i < workersByLongestRun.length; i++) {
      workersByLongestRun[i] = new BitSet();
    }
  }

  /** Updates the entries of one worker. */
  void refresh(PoolWorker worker) {
    while (longestRuns.size() <= worker.index) {
      longestRuns.add(0);
      freeOnWorker.add(0);
    }
    while (freeInRackCounts.size() < pool.racks.size()) {
      freeInRackCounts.add(0);
    }
    long mask = view.mask(worker);
    int run = AcceleratorMasks.longestRun(mask);
    workersByLongestRun[longestRuns.getInt(worker.index)].clear(worker.index);
    workersByLongestRun[run].set(worker.index);
    longestRuns.set(worker.index, run);
    int change = Long.bitCount(mask) - freeOnWorker.getInt(worker.index);
    freeOnWorker.set(worker.index, freeOnWorker.getInt(worker.index) + change);
    freeInRackCounts.set(worker.rack.index, freeInRackCounts.getInt(worker.rack.index) + change);
    total += change;
  }

  /** Returns the workers whose longest run has exactly the given length. */
  BitSet withLongestRun(int run) {
    return workersByLongestRun[run];
  }

  int freeInRack(RackGroup rack) {
    return freeInRackCounts.getInt(rack.index);
  }

  int freeOn(PoolWorker worker) {
    return freeOnWorker.getInt(worker.index);
  }

  int total() {
    return total;
  }
}
