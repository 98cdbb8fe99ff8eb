package dev.bambootray.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Every run on a set of stand-in workers, so that faults of the system can be counted without
 * asking the system. Thread-safe.
 */
public final class RunLedger {
  private static final long PARTIAL_AFTER_MS = 5_000;

  /**
   * The start of one run of one task.
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
   * @param parameterBytes bytes of parameters that reached the region
   */
  public record Start(
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
      long parameterBytes) {}

  /**
   * The end of a run.
   *
   * @param endMs when it ended, in milliseconds since the epoch
   * @param phase phase in which it ended, or {@code DIED} with its worker
   * @param resultBytes bytes of the result that left the region
   */
  public record End(long endMs, String phase, long resultBytes) {}

  /**
   * One run of one task.
   *
   * @param start its start
   * @param end its end, or null while it runs
   */
  public record Run(Start start, @Nullable End end) {}

  private final List<Run> runs = new ArrayList<>();

  private RunLedger() {}

  /** Returns an empty ledger. */
  public static RunLedger create() {
    return new RunLedger();
  }

  synchronized int begin(Start start) {
    runs.add(new Run(start, null));
    return runs.size() - 1;
  }

  synchronized void end(int index, End end) {
    runs.set(index, new Run(runs.get(index).start(), end));
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
        .map(Run::start)
        .filter(start -> !start.resumed && notRepeatable.test(start.key))
        .filter(start -> !seen.add(start.key + "~" + start.member))
        .count();
  }

  /** Counts the given requests ({@code <workspace>/<key>}) that ran in spite of their refusal. */
  public long refusedButRan(Set<String> refusedKeys) {
    return runs().stream().map(r -> r.start.key).filter(refusedKeys::contains).distinct().count();
  }

  /**
   * Counts attempts of which a member ran to its end, or for more than 5 s, while another member
   * never started.
   *
   * @param nowMs the present time in milliseconds since the epoch
   */
  public long partialGangs(long nowMs) {
    Map<String, List<Run>> byAttempt = new HashMap<>();
    for (Run run : runs()) {
      byAttempt.computeIfAbsent(run.start.attempt, attempt -> new ArrayList<>()).add(run);
    }
    return byAttempt.values().stream().filter(members -> isPartial(members, nowMs)).count();
  }

  private static boolean isPartial(List<Run> started, long nowMs) {
    long distinct = started.stream().mapToInt(run -> run.start.member).distinct().count();
    return distinct < started.get(0).start.members
        && started.stream().anyMatch(run -> ranToEndOrLong(run, nowMs));
  }

  private static boolean ranToEndOrLong(Run run, long nowMs) {
    End end = run.end;
    if (end != null && (end.phase.equals("FINISHED") || end.phase.equals("FAILED"))) {
      return true;
    }
    return (end == null ? nowMs : end.endMs) - run.start.startMs > PARTIAL_AFTER_MS;
  }
}
