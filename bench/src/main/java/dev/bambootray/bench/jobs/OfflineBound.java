package dev.bambootray.bench.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * An upper bound on the value of a load: jobs may be split, moved and started before their arrival,
 * and only the accelerator time and core time of the whole pool are limited.
 */
final class OfflineBound {
  private record Item(double value, double share) {}

  private OfflineBound() {}

  /** Returns the share of the value of all jobs that no schedule exceeds. */
  static double of(JobDeployment deployment, List<JobArrival> arrivals, long finishMs) {
    double seconds = (JobLoad.ARRIVALS_MS + finishMs) / 1_000.0;
    double accelerators = deployment.pool().accelerators() * seconds;
    double cores =
        deployment.pool().workers() * deployment.pool().capacity().millicores() / 1_000.0 * seconds;
    // Each limit alone bounds the value; the smaller bound holds.
    return Math.min(fill(arrivals, accelerators, true), fill(arrivals, cores, false));
  }

  private static double fill(List<JobArrival> arrivals, double room, boolean accelerators) {
    List<Item> items = new ArrayList<>();
    double owed = 0;
    for (JobArrival arrival : arrivals) {
      if (arrival.cancelAtMs() >= 0) {
        continue;
      }
      items.add(new Item(JobReplay.value(arrival), need(arrival, accelerators)));
      owed += JobReplay.value(arrival);
    }
    items.sort(Comparator.comparingDouble(item -> -item.value() / Math.max(1e-9, item.share())));
    double earned = 0;
    double left = room;
    for (Item item : items) {
      double part = Math.min(1, left / Math.max(1e-9, item.share()));
      earned += part * item.value();
      left -= part * item.share();
    }
    return owed == 0 ? 1 : earned / owed;
  }

  private static double need(JobArrival arrival, boolean accelerators) {
    double sum = 0;
    for (int step = 0; step < arrival.steps().size(); step++) {
      double each =
          accelerators
              ? arrival.steps().get(step).each().accelerators()
              : arrival.steps().get(step).each().millicores() / 1_000.0;
      for (long ms : arrival.work().workMs().get(step)) {
        sum += each * ms / 1_000.0;
      }
    }
    return sum;
  }
}
