package dev.bambootray.bench.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec.Objective;
import java.util.List;

/**
 * One kind of job of a load; the figures follow the sheets of the users' deployments.
 *
 * @param name its name
 * @param objective what its template promises
 * @param worth value of a job of mean size that completes in time
 * @param lateShare share of the value that a late completion keeps
 * @param perS mean arrivals a second
 * @param width mean number of tasks of a step; the distribution is log-normal
 * @param widest largest number of tasks of a step
 * @param workMs mean work of a task in milliseconds
 * @param workSpread standard deviation of the logarithm of the work
 * @param longestMs longest work of a task in milliseconds
 * @param each cores and memory of a task; the accelerators are drawn
 * @param accelerators numbers of accelerators of a task, drawn with equal weight
 * @param gang whether the tasks of a step work only together
 * @param sameRackShare share of gangs that are slower across racks
 * @param checkpointShare share of steps that save their progress
 * @param secondStepShare share of jobs with a second step after the first
 * @param wrongEstimateShare share of steps whose estimate is wrong by up to ten times
 * @param failureShare share of runs that fail
 * @param poisonShare share of jobs that always fail
 * @param cancelShare share of jobs that are cancelled after their estimate
 */
record JobKind(
    String name,
    Objective objective,
    double worth,
    double lateShare,
    double perS,
    double width,
    int widest,
    double workMs,
    double workSpread,
    double longestMs,
    Resources each,
    List<Integer> accelerators,
    boolean gang,
    double sameRackShare,
    double checkpointShare,
    double secondStepShare,
    double wrongEstimateShare,
    double failureShare,
    double poisonShare,
    double cancelShare) {

  JobKind {
    accelerators = List.copyOf(accelerators);
  }

  /** Returns the same kind with its arrivals multiplied. */
  JobKind times(double factor) {
    return new JobKind(
        name,
        objective,
        worth,
        lateShare,
        perS * factor,
        width,
        widest,
        workMs,
        workSpread,
        longestMs,
        each,
        accelerators,
        gang,
        sameRackShare,
        checkpointShare,
        secondStepShare,
        wrongEstimateShare,
        failureShare,
        poisonShare,
        cancelShare);
  }
}
