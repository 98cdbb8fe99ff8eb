package dev.bambootray.jobs.scheduling;

import dev.bambootray.core.model.Resources;

/** Provides arithmetic on resources. */
final class ResourceMath {
  /** Number of cores that equal one accelerator, as in the platform's price of lost work. */
  private static final int CORES_PER_ACCELERATOR = 8;

  private ResourceMath() {}

  /** Returns how many times a size fits into the available resources. */
  static int countFitting(Resources size, Resources available) {
    int count = Integer.MAX_VALUE;
    if (size.accelerators() > 0) {
      count = Math.min(count, available.accelerators() / size.accelerators());
    }
    if (size.millicores() > 0) {
      count = Math.min(count, available.millicores() / size.millicores());
    }
    if (size.memoryMib() > 0) {
      count = Math.min(count, available.memoryMib() / size.memoryMib());
    }
    return Math.max(0, Math.min(count, 1_000));
  }

  static Resources plus(Resources a, Resources b, int times) {
    return new Resources(
        a.accelerators() + b.accelerators() * times,
        a.millicores() + b.millicores() * times,
        a.memoryMib() + b.memoryMib() * times);
  }

  /** Returns the weight of a size in equivalent cores. */
  static double weightInCores(Resources size) {
    return size.millicores() / 1_000.0 + CORES_PER_ACCELERATOR * size.accelerators();
  }
}
