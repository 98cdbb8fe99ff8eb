package dev.bambootray.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Every run on a set of stand-in workers, so that faults of the system can be counted without
 * asking the system. Thread-safe.
 */
public final class RunLedger {
  private static final long PARTIAL_AFTER_MS = 5_000;

  /**
   * One run of one task.
   *
   * @param key workspace and idempotency key as {@code <workspace>/<key>}
   * @param attempt attempt token
   * @param member index of the gang member
   * @param members number of members of the gang
   * @param worker worker that ran it
   * @param region region of the worker
   * @param firstAccelerator index of the first accelerator
   * @param accelerators number of accelerators, 0 for a service request
   * @param resumed whether it continued from a checkpoint
   * @param startMs when it started, in milliseconds since the epoch
   * @param endMs when it ended, in milliseconds since the epoch, or -1 while it runs
   * @param phase phase in which it ended, or {@code RUNNING}
   * @param regionBytes bytes of parameters and result that reached or left the worker
   */
  public record Run(
      String key,
      String attempt,
      int member,
      int members,
      String worker,
      String region,
      int firstAccelerator,
      int accelerators,
      boolean resumed,
      long startMs,
      long endMs,
      String phase,
      long regionBytes) {}

  private final List<Run> runs = new ArrayList<>();

  private RunLedger() {}

  /** Returns an empty ledger. */
  public static RunLedger create() {
    return new RunLedger();
  }

  synchronized int begin(Run run) {
    runs.add(run);
    return runs.size() - 1;
  }

  synchronized void end(int index, long endMs, String phase, long resultBytes) {
    Run r = runs.get(index);
    runs.set(
        index,
        new Run(
            r.key,
            r.attempt,
            r.member,
            r.members,
            r.worker,
            r.region,
            r.firstAccelerator,
            r.accelerators,
            r.resumed,
            r.startMs,
            endMs,
            phase,
            r.regionBytes + resultBytes));
  }

  /** Returns all runs so far in the order of their start. */
  public synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  /**
   * Counts runs beyond the first of each member of a request. A run that continued from a
   * checkpoint is not counted.
   *
   * @param notRepeatable tells for {@code <workspace>/<key>} whether it may run only once
   */
  public long doubleRuns(Predicate<String> notRepeatable) {
    Set<String> seen = new HashSet<>();
    return runs().stream()
        .filter(run -> !run.resumed && notRepeatable.test(run.key))
        .filter(run -> !seen.add(run.key + "~" + run.member))
        .count();
  }

  /** Counts the given requests ({@code <workspace>/<key>}) that ran in spite of their refusal. */
  public long refusedButRan(Set<String> refusedKeys) {
    return runs().stream().map(Run::key).filter(refusedKeys::contains).distinct().count();
  }

  /**
   * Counts attempts of which a member ran to its end, or for more than 5 s, while another member
   * never started.
   *
   * @param nowMs the present time in milliseconds since the epoch
   */
  public long partialGangs(long nowMs) {
    Map<String, List<Run>> byAttempt = new HashMap<>();
    runs().forEach(run -> byAttempt.computeIfAbsent(run.attempt, a -> new ArrayList<>()).add(run));
    return byAttempt.values().stream().filter(members -> isPartial(members, nowMs)).count();
  }

  private static boolean isPartial(List<Run> started, long nowMs) {
    long distinct = started.stream().mapToInt(Run::member).distinct().count();
    return distinct < started.get(0).members
        && started.stream()
            .anyMatch(
                run ->
                    run.phase.equals("FINISHED")
                        || run.phase.equals("FAILED")
                        || (run.endMs < 0 ? nowMs : run.endMs) - run.startMs > PARTIAL_AFTER_MS);
  }
}
