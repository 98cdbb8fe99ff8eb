package dev.bambootray.bench.jobs;

import dev.bambootray.bench.jobs.JobKind.Shape;
import dev.bambootray.bench.jobs.JobKind.Size;
import dev.bambootray.bench.jobs.JobKind.Trouble;
import dev.bambootray.bench.jobs.JobKind.Value;
import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec.Objective;
import java.util.List;

/**
 * A pool and the load that its users bring, after the sheets of the users' deployments.
 *
 * @param name its name
 * @param pool its workers
 * @param kinds its kinds of jobs
 * @param workspaces number of workspaces
 */
record JobDeployment(String name, Pool pool, List<JobKind> kinds, int workspaces) {
  /** Share of the accelerators that is guaranteed to workspaces, as on the sheets. */
  private static final double GUARANTEED_SHARE = 0.62;

  private static final Resources SMALL_VM = new Resources(8, 32_000, 65_536);
  private static final Resources LARGE_VM = new Resources(8, 128_000, 262_144);
  private static final Pool SMALL_POOL = new Pool(33, 8, SMALL_VM);
  private static final Pool SMALL_POOL_OF_LARGE_VMS = new Pool(33, 8, LARGE_VM);
  private static final Pool GROWN_POOL = new Pool(246, 20, SMALL_VM);
  private static final Pool GROWN_POOL_OF_LARGE_VMS = new Pool(246, 20, LARGE_VM);
  private static final List<Integer> MIXED = List.of(1, 2, 4, 8, 8);
  private static final List<Integer> SINGLE = List.of(1);
  private static final double LONGEST_MS = 11_000;

  private static final JobDeployment FIRST =
      new JobDeployment(
          "first",
          SMALL_POOL,
          List.of(
              plan(0.44, 3, size(5, 8_500, 13_000, 34_000), new Trouble(0.9, 0.02, 0, 0.05)),
              order(1.07, 3, 3.4, 3_700, 5_500, 0.005),
              check(0.517, 2, size(16, 6_100, 2_800, 5_700), new Trouble(0.2, 0.05, 0.03, 0.15))),
          4);
  private static final JobDeployment SECOND =
      new JobDeployment(
          "second",
          SMALL_POOL_OF_LARGE_VMS,
          List.of(
              plan(0.48, 2, size(4, 11_000, 52_000, 75_000), new Trouble(0.5, 0.05, 0.01, 0.05)),
              order(1.68, 2, 3, 15_000, 31_000, 0.05),
              check(0.591, 4, size(12, 7_600, 11_000, 23_000), new Trouble(0.5, 0.02, 0.01, 0.15))),
          4);
  private static final JobDeployment FIRST_GROWN =
      new JobDeployment(
          "first grown",
          GROWN_POOL,
          List.of(
              plan(1.16, 4, size(13, 11_000, 13_000, 26_000), new Trouble(0.2, 0.02, 0.03, 0.05)),
              order(4.93, 2, 5.4, 3_700, 7_600, 0.05),
              check(1.78, 4, size(39, 6_100, 2_800, 4_100), new Trouble(0.2, 0.05, 0, 0.15))),
          10);
  private static final JobDeployment SECOND_GROWN =
      new JobDeployment(
          "second grown",
          GROWN_POOL_OF_LARGE_VMS,
          List.of(
              plan(2.59, 4, size(10, 6_800, 52_000, 110_000), new Trouble(0.9, 0.02, 0.01, 0.05)),
              order(7.76, 4, 4.7, 15_000, 39_000, 0.02),
              check(2.04, 3, size(30, 7_600, 11_000, 23_000), new Trouble(0.9, 0.05, 0.01, 0.15))),
          10);

  private static final JobDeployment THIRD =
      new JobDeployment(
          "third",
          SMALL_POOL_OF_LARGE_VMS,
          List.of(
              plan(0.44, 3, size(5, 8_500, 52_000, 110_000), new Trouble(0.2, 0.02, 0.03, 0.05)),
              order(1.07, 4, 3.4, 15_000, 39_000, 0.005),
              check(0.331, 3, size(16, 9_500, 11_000, 16_000), new Trouble(0.2, 0.005, 0, 0.15))),
          4);
  private static final JobDeployment THIRD_GROWN =
      new JobDeployment(
          "third grown",
          GROWN_POOL_OF_LARGE_VMS,
          List.of(
              plan(1.45, 4, size(13, 8_500, 52_000, 110_000), new Trouble(0.2, 0.02, 0.03, 0.05)),
              order(7.71, 3, 5.4, 15_000, 39_000, 0.005),
              check(1.14, 3, size(39, 9_500, 11_000, 16_000), new Trouble(0.2, 0.005, 0, 0.15))),
          10);

  /** The first deployment after its work has shifted: mostly short gangs, and larger tasks. */
  private static final JobDeployment FIRST_SHIFTED =
      new JobDeployment(
          "shifted grown",
          GROWN_POOL_OF_LARGE_VMS,
          List.of(
              plan(0.749, 2, size(13, 11_000, 52_000, 75_000), new Trouble(0.2, 0.005, 0, 0.05)),
              order(5.48, 4, 5.4, 15_000, 31_000, 0.005),
              check(0.913, 3, size(39, 7_600, 11_000, 23_000), new Trouble(0.2, 0.05, 0, 0.15))),
          10);

  /**
   * Workers of a deployment.
   *
   * @param workers their number
   * @param perRack workers of a rack
   * @param capacity of each worker
   */
  record Pool(int workers, int perRack, Resources capacity) {
    int accelerators() {
      return workers * capacity.accelerators();
    }
  }

  JobDeployment {
    kinds = List.copyOf(kinds);
  }

  static List<JobDeployment> all() {
    return List.of(FIRST, SECOND, THIRD, FIRST_GROWN, SECOND_GROWN, THIRD_GROWN, FIRST_SHIFTED);
  }

  static JobDeployment first() {
    return FIRST;
  }

  static JobDeployment second() {
    return SECOND;
  }

  static JobDeployment third() {
    return THIRD;
  }

  static JobDeployment secondGrown() {
    return SECOND_GROWN;
  }

  /** Returns the accelerators that each workspace may claim. */
  int guaranteedEach() {
    return (int) (pool.accelerators() * GUARANTEED_SHARE / workspaces);
  }

  /** Returns the same deployment with another number of workers and as many times the arrivals. */
  JobDeployment resized(int workers) {
    double factor = (double) workers / pool.workers();
    return new JobDeployment(
        name + " x " + workers,
        new Pool(workers, pool.perRack(), pool.capacity()),
        kinds.stream().map(kind -> kind.times(factor)).toList(),
        workspaces);
  }

  private static Size size(double width, double workMs, int millicores, int memoryMib) {
    return new Size(width, workMs, 0.3, LONGEST_MS, new Resources(0, millicores, memoryMib), MIXED);
  }

  /** Wide gangs of the second priority. */
  private static JobKind plan(double perS, int attempts, Size size, Trouble trouble) {
    return new JobKind(
        "plan",
        new Objective(1, attempts, 3.0, 1_200),
        new Value(3, 0.3),
        perS,
        size,
        new Shape(true, 0.6, 0.45, 0),
        trouble);
  }

  /** Short gangs of the first priority, within the guarantees of their workspaces. */
  private static JobKind order(
      double perS, int attempts, double width, int millicores, int memoryMib, double failures) {
    return new JobKind(
        "order",
        new Objective(0, attempts, 1.5, 500),
        new Value(4, 0.2),
        perS,
        new Size(width, 2_500, 0.5, 8_000, new Resources(0, millicores, memoryMib), MIXED),
        new Shape(true, 0.8, 0, 0),
        new Trouble(0.5, failures, 0, 0));
  }

  /** Many single tasks of the last priority. */
  private static JobKind check(double perS, int attempts, Size size, Trouble trouble) {
    return new JobKind(
        "check",
        new Objective(2, attempts, 3.0, 3_000),
        new Value(1, 0.3),
        perS,
        new Size(
            size.width(), size.workMs(), size.workSpread(), size.longestMs(), size.each(), SINGLE),
        new Shape(false, 0, 0.45, 0.3),
        trouble);
  }
}
