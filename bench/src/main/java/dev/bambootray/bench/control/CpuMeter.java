package dev.bambootray.bench.control;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/** Processor time of the calling thread and heap of the process. */
final class CpuMeter {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int COLLECTIONS = 3;

  private CpuMeter() {}

  /** Returns the processor time that the thread has used, in seconds. */
  static double cpuSeconds() {
    return THREADS.getCurrentThreadCpuTime() / 1e9;
  }

  /** Returns the bytes of live objects after garbage collection. */
  static long liveBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      runtime.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
