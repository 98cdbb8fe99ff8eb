package dev.bambootray.bench.routing;

import java.util.List;
import org.HdrHistogram.Histogram;

/** Counts what happened to the requests of one replay. */
final class Tally {
  private static final long DEADLINE_US = Workload.DEADLINE_MS * 1_000;

  private final long[] answeredAtUs;
  private final byte[] answers;
  private final byte[] runs;
  private final boolean[] succeeded;
  private final boolean[] saidNotRun;
  long dispatches;
  long crossRegionBytes;
  long slotExcess;
  long connectionExcess;

  Tally(int requests) {
    answeredAtUs = new long[requests];
    answers = new byte[requests];
    runs = new byte[requests];
    succeeded = new boolean[requests];
    saidNotRun = new boolean[requests];
  }

  /** Counts an answer that reaches the caller. */
  void answer(int request, long atUs, boolean success, boolean notRun) {
    if (answers[request]++ == 0) {
      answeredAtUs[request] = atUs;
      succeeded[request] = success;
      saidNotRun[request] = notRun;
    }
  }

  /** Counts the start of a run on a target. */
  void runStarted(int request) {
    runs[request]++;
  }

  /** Returns times from sending to answer; requests without a result count the whole deadline. */
  Histogram completionUs(List<Workload.Arrival> arrivals) {
    Histogram histogram = new Histogram(60_000_000, 3);
    for (Workload.Arrival arrival : arrivals) {
      int i = arrival.index();
      long tookUs = succeeded[i] ? answeredAtUs[i] - arrival.arrivalUs() : DEADLINE_US;
      histogram.recordValue(Math.min(tookUs, 60_000_000));
    }
    return histogram;
  }

  long withoutResult() {
    long count = 0;
    for (boolean success : succeeded) {
      count += success ? 0 : 1;
    }
    return count;
  }

  long lost() {
    long count = 0;
    for (byte count1 : answers) {
      count += count1 == 0 ? 1 : 0;
    }
    return count;
  }

  long duplicates() {
    long count = 0;
    for (byte count1 : answers) {
      count += count1 > 1 ? 1 : 0;
    }
    return count;
  }

  /** Returns runs beyond the first of requests that are not repeatable. */
  long doubleRuns(List<Workload.Arrival> arrivals) {
    long count = 0;
    for (Workload.Arrival arrival : arrivals) {
      count += !arrival.repeatable() && runs[arrival.index()] > 1 ? 1 : 0;
    }
    return count;
  }

  /** Returns requests that were answered as not run although a run had started. */
  long notRunButRan() {
    long count = 0;
    for (int i = 0; i < runs.length; i++) {
      count += saidNotRun[i] && runs[i] > 0 ? 1 : 0;
    }
    return count;
  }
}
