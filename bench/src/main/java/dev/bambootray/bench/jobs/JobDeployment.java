package dev.bambootray.bench.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec.Objective;
import java.util.List;

/**
 * A pool and the load that its users bring, after the sheets of the users' deployments.
 *
 * @param name its name
 * @param workers number of workers
 * @param perRack workers of a rack
 * @param capacity of each worker
 * @param kinds its kinds of jobs
 * @param workspaces number of workspaces
 * @param guaranteedShare share of the accelerators that is guaranteed to workspaces
 */
record JobDeployment(
    String name,
    int workers,
    int perRack,
    Resources capacity,
    List<JobKind> kinds,
    int workspaces,
    double guaranteedShare) {
  private static final Resources SMALL_VM = new Resources(8, 32_000, 65_536);
  private static final Resources LARGE_VM = new Resources(8, 128_000, 262_144);
  private static final List<Integer> MIXED = List.of(1, 2, 4, 8, 8);
  private static final List<Integer> SINGLE = List.of(1);
  private static final double GUARANTEED_SHARE = 0.62;

  JobDeployment {
    kinds = List.copyOf(kinds);
  }

  static List<JobDeployment> all() {
    return List.of(first(), second(), firstGrown(), secondGrown());
  }

  static JobDeployment first() {
    return new JobDeployment(
        "first",
        33,
        8,
        SMALL_VM,
        List.of(
            plan(0.44, 5, 8_500, new Resources(0, 13_000, 34_000), 3, 0.9, 0.02, 0),
            order(1.07, 3.4, new Resources(0, 3_700, 5_500), 3, 0.005),
            check(0.517, 16, 6_100, new Resources(0, 2_800, 5_700), 2, 0.2, 0.05, 0.03)),
        4,
        GUARANTEED_SHARE);
  }

  static JobDeployment second() {
    return new JobDeployment(
        "second",
        33,
        8,
        LARGE_VM,
        List.of(
            plan(0.48, 4, 11_000, new Resources(0, 52_000, 75_000), 2, 0.5, 0.05, 0.01),
            order(1.68, 3, new Resources(0, 15_000, 31_000), 2, 0.05),
            check(0.591, 12, 7_600, new Resources(0, 11_000, 23_000), 4, 0.5, 0.02, 0.01)),
        4,
        GUARANTEED_SHARE);
  }

  static JobDeployment firstGrown() {
    return new JobDeployment(
        "first grown",
        246,
        20,
        SMALL_VM,
        List.of(
            plan(1.16, 13, 11_000, new Resources(0, 13_000, 26_000), 4, 0.2, 0.02, 0.03),
            order(4.93, 5.4, new Resources(0, 3_700, 7_600), 2, 0.05),
            check(1.78, 39, 6_100, new Resources(0, 2_800, 4_100), 4, 0.2, 0.05, 0)),
        10,
        GUARANTEED_SHARE);
  }

  static JobDeployment secondGrown() {
    return new JobDeployment(
        "second grown",
        246,
        20,
        LARGE_VM,
        List.of(
            plan(2.59, 10, 6_800, new Resources(0, 52_000, 110_000), 4, 0.9, 0.02, 0.01),
            order(7.76, 4.7, new Resources(0, 15_000, 39_000), 4, 0.02),
            check(2.04, 30, 7_600, new Resources(0, 11_000, 23_000), 3, 0.9, 0.05, 0.01)),
        10,
        GUARANTEED_SHARE);
  }

  /** Returns the same deployment with another number of workers and as many times the arrivals. */
  JobDeployment resized(int newWorkers) {
    double factor = (double) newWorkers / workers;
    return new JobDeployment(
        name + " x " + newWorkers,
        newWorkers,
        perRack,
        capacity,
        kinds.stream().map(kind -> kind.times(factor)).toList(),
        workspaces,
        guaranteedShare);
  }

  /** Wide gangs of the second priority. */
  private static JobKind plan(
      double perS,
      double width,
      double workMs,
      Resources each,
      int attempts,
      double wrong,
      double failures,
      double poison) {
    return new JobKind(
        "plan",
        new Objective(1, attempts, 3.0, 1_200),
        3,
        0.3,
        perS,
        width,
        (int) (6 * width),
        workMs,
        0.3,
        11_000,
        each,
        MIXED,
        true,
        0.6,
        0.45,
        0,
        wrong,
        failures,
        poison,
        0.05);
  }

  /** Short gangs of the first priority, within the guarantees of their workspaces. */
  private static JobKind order(
      double perS, double width, Resources each, int attempts, double failures) {
    return new JobKind(
        "order",
        new Objective(0, attempts, 1.5, 500),
        4,
        0.2,
        perS,
        width,
        (int) (6 * width),
        2_500,
        0.5,
        8_000,
        each,
        MIXED,
        true,
        0.8,
        0,
        0,
        0.5,
        failures,
        0,
        0);
  }

  /** Many single tasks of the last priority. */
  private static JobKind check(
      double perS,
      double width,
      double workMs,
      Resources each,
      int attempts,
      double wrong,
      double failures,
      double poison) {
    return new JobKind(
        "check",
        new Objective(2, attempts, 3.0, 3_000),
        1,
        0.3,
        perS,
        width,
        (int) (6 * width),
        workMs,
        0.3,
        11_000,
        each,
        SINGLE,
        false,
        0,
        0.45,
        0.3,
        wrong,
        failures,
        poison,
        0.15);
  }
}
