package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;

/** Arithmetic on resources. */
final class Amounts {
  /** Cores that one accelerator weighs as much as; the platform's price of lost work. */
  private static final int CORES_PER_ACCELERATOR = 8;

  private Amounts() {}

  /** Returns how many of a size fit into a room. */
  static int count(Resources size, Resources room) {
    int count = Integer.MAX_VALUE;
    if (size.accelerators() > 0) {
      count = Math.min(count, room.accelerators() / size.accelerators());
    }
    if (size.millicores() > 0) {
      count = Math.min(count, room.millicores() / size.millicores());
    }
    if (size.memoryMib() > 0) {
      count = Math.min(count, room.memoryMib() / size.memoryMib());
    }
    return Math.max(0, Math.min(count, 1_000));
  }

  static Resources plus(Resources a, Resources b, int times) {
    return new Resources(
        a.accelerators() + b.accelerators() * times,
        a.millicores() + b.millicores() * times,
        a.memoryMib() + b.memoryMib() * times);
  }

  /** Returns the weight of a size in cores. */
  static double cores(Resources size) {
    return size.millicores() / 1_000.0 + CORES_PER_ACCELERATOR * size.accelerators();
  }
}
