package dev.bambootray.bench.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec.Objective;
import java.util.List;

/**
 * One kind of job of a load; the figures follow the sheets of the users' deployments.
 *
 * @param name its name
 * @param objective what its template promises
 * @param value value of a job in time and late
 * @param perS mean arrivals a second
 * @param size how large its jobs are
 * @param shape how its steps work together
 * @param trouble how often something goes wrong with a job
 */
record JobKind(
    String name,
    Objective objective,
    Value value,
    double perS,
    Size size,
    Shape shape,
    Trouble trouble) {

  /**
   * Value of a job.
   *
   * @param worth value of a job of mean size that completes in time
   * @param lateShare share of the value that a late completion keeps
   */
  record Value(double worth, double lateShare) {}

  /**
   * Size of a job; widths and work are drawn from log-normal distributions.
   *
   * @param width mean number of tasks of a step
   * @param workMs mean work of a task in milliseconds
   * @param workSpread standard deviation of the logarithm of the work
   * @param longestMs longest work of a task in milliseconds
   * @param each cores and memory of a task
   * @param accelerators numbers of accelerators of a task, drawn with equal weight
   */
  record Size(
      double width,
      double workMs,
      double workSpread,
      double longestMs,
      Resources each,
      List<Integer> accelerators) {
    /** The widest step has this many times the mean width, as on the sheets. */
    private static final int WIDEST_FACTOR = 6;

    Size {
      accelerators = List.copyOf(accelerators);
    }

    int widest() {
      return (int) (WIDEST_FACTOR * width);
    }
  }

  /**
   * How the steps of a job work together.
   *
   * @param gang whether the tasks of a step work only together
   * @param sameRackShare share of gangs that are slower across racks
   * @param checkpointShare share of steps that save their progress
   * @param secondStepShare share of jobs with a second step after the first
   */
  record Shape(
      boolean gang, double sameRackShare, double checkpointShare, double secondStepShare) {}

  /**
   * How often something goes wrong with a job.
   *
   * @param wrongEstimateShare share of steps whose estimate is wrong by up to ten times
   * @param failureShare share of runs that fail
   * @param poisonShare share of jobs that always fail
   * @param cancelShare share of jobs that are cancelled after their mean work
   */
  record Trouble(
      double wrongEstimateShare, double failureShare, double poisonShare, double cancelShare) {}

  /** Returns the same kind with its arrivals multiplied. */
  JobKind times(double factor) {
    return new JobKind(name, objective, value, perS * factor, size, shape, trouble);
  }
}
