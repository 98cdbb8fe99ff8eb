package dev.bambootray.soak;

/**
 * What the callers of the soak submit.
 *
 * @param meanGapMs mean time between two jobs
 * @param maxTasks largest number of tasks of a step
 * @param maxWorkMs longest work of a task
 * @param maxGangAccelerators largest number of accelerators of a gang
 */
record SoakLoad(double meanGapMs, int maxTasks, int maxWorkMs, int maxGangAccelerators) {
  /** Small jobs, which a few workers serve at once. */
  static final SoakLoad SMALL = new SoakLoad(250, 6, 2_500, 48);

  private static final int ACCELERATORS = 8;

  /** Mean work of a wide job in accelerator-seconds, by the distributions of {@link SoakJob}. */
  private static final double MEAN_JOB_SECONDS = 190;

  private static final double OVERLOAD = 4;

  /** Returns wide and long jobs, four times what a pool serves, so that a queue is left. */
  static SoakLoad wide(int workers) {
    double jobsPerSecond = OVERLOAD * workers * ACCELERATORS / MEAN_JOB_SECONDS;
    return new SoakLoad(1_000 / jobsPerSecond, 30, 8_000, workers * ACCELERATORS / 2);
  }
}
