package dev.bambootray.core.scheduling;

/** Computes with bit masks of accelerators, in which bit i is accelerator i of a worker. */
final class AcceleratorMasks {
  /** The most accelerators that a worker may have. */
  static final int MAX_ACCELERATORS = 64;

  private AcceleratorMasks() {}

  /** Returns the mask of {@code length} accelerators from {@code first}. */
  static long mask(int first, int length) {
    if (length == 0) {
      return 0;
    }
    return (-1L >>> (MAX_ACCELERATORS - length)) << first;
  }

  /** Returns the mask of all positions at which a run of the given length starts. */
  static long runStarts(long mask, int length) {
    long starts = mask;
    int have = 1;
    while (have < length && starts != 0) {
      int step = Math.min(have, length - have);
      starts &= starts >>> step;
      have += step;
    }
    return starts;
  }

  /** Returns the length of the longest run within the mask. */
  static int longestRun(long mask) {
    int length = 0;
    long rest = mask;
    while (rest != 0) {
      rest &= rest << 1;
      length++;
    }
    return length;
  }

  /** Returns how many disjoint runs of the given length the mask holds. */
  static int countRuns(long mask, int length) {
    int count = 0;
    long rest = mask;
    long starts = runStarts(rest, length);
    while (starts != 0) {
      count++;
      rest &= ~mask(Long.numberOfTrailingZeros(starts), length);
      starts = runStarts(rest, length);
    }
    return count;
  }

  /** Returns the start of the first run of the given length, or -1. */
  static int firstFit(long mask, int length) {
    long starts = runStarts(mask, length);
    return starts == 0 ? -1 : Long.numberOfTrailingZeros(starts);
  }

  /** Returns the start of the shortest complete run that has at least the given length, or -1. */
  static int bestFit(long mask, int length) {
    int best = -1;
    int bestLength = Integer.MAX_VALUE;
    long rest = mask;
    while (rest != 0) {
      int first = Long.numberOfTrailingZeros(rest);
      int runLength = Long.numberOfTrailingZeros(~(rest >>> first));
      if (runLength >= length && runLength < bestLength) {
        best = first;
        bestLength = runLength;
      }
      rest &= ~mask(first, runLength);
    }
    return best;
  }
}
