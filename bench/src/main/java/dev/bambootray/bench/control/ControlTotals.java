package dev.bambootray.bench.control;

/** Sums of the costs of all control parts at the target size, for one node and for the table. */
final class ControlTotals {
  private double cpuShare;
  private double heapBytes;
  private double bytesPerSecond;
  private double writesPerSecond;
  private double readsPerSecond;

  /** Adds the cost of a part on one node. */
  void add(double cpuShareOfCore, double heap, double bytes) {
    cpuShare += cpuShareOfCore;
    heapBytes += heap;
    bytesPerSecond += bytes;
  }

  /** Adds calls of all nodes to the table. */
  void addStore(double writes, double reads) {
    writesPerSecond += writes;
    readsPerSecond += reads;
  }

  double cpuShare() {
    return cpuShare;
  }

  double heapBytes() {
    return heapBytes;
  }

  double bytesPerSecond() {
    return bytesPerSecond;
  }

  double writesPerSecond() {
    return writesPerSecond;
  }

  double readsPerSecond() {
    return readsPerSecond;
  }
}
