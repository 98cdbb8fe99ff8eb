package dev.bambootray.soak;

import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import dev.bambootray.standins.jobs.FinishedTaskCheck;
import dev.bambootray.standins.jobs.IdleCapacityCheck;
import dev.bambootray.standins.jobs.SimulatedPoolWorker;
import dev.bambootray.standins.jobs.WaitingStep;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks what callers and workers see against what was promised. Confined to one event loop; time
 * is passed in.
 */
final class PromiseBook {
  /** Time after a cancelling within which its runs may still start, as on the platform. */
  private static final long CANCEL_MS = 3_000;

  private static final int ACCEPTED = 200;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  /** Answers to a submission that is well formed, for a queue that is always there. */
  private static final Set<Integer> EXPECTED = Set.of(ACCEPTED, TOO_MANY, 502, UNAVAILABLE, 504);

  private static final Set<String> FINAL_STATES = Set.of("completed", "failed", "cancelled");

  /** States in which a caller may be shown a job that was accepted. */
  private static final Set<String> STATES =
      Set.of("queued", "running", "completed", "failed", "cancelled");

  private static final class Entry {
    private final SoakJob job;
    private boolean accepted;
    private boolean perhapsAccepted;
    private boolean givenUp;
    private boolean refused;
    private boolean started;
    private long cancelledAtMs = Long.MAX_VALUE;
    private String shown = "";
    private String shownBy = "";
    private final Set<TaskName> done = new HashSet<>();
    private final Set<String> checkpoints = new HashSet<>();

    private Entry(SoakJob job) {
      this.job = job;
    }
  }

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final FinishedTaskCheck finishedTasks = new FinishedTaskCheck();
  private final IdleCapacityCheck idleCapacity = new IdleCapacityCheck();

  /** Jobs that are known to have stood still beside idle capacity. */
  private final Set<String> stoodStill = new HashSet<>();

  private final Set<String> violations = new LinkedHashSet<>();
  private final Map<String, Integer> counts = new TreeMap<>();
  private final LongestTime nothingRan = new LongestTime();
  private long lastFaultMs = Long.MIN_VALUE / 2;

  /** Notes that a fault is going on. */
  void disturbed(long nowMs) {
    lastFaultMs = nowMs;
  }

  /** Notes a job that is about to be submitted. */
  void submitting(SoakJob job) {
    entries.put(job.id(), new Entry(job));
    count("submitted");
  }

  /**
   * Notes the answer to a submission.
   *
   * @param status its status, or 0 if there was none
   * @param last whether the caller gives up after it
   */
  void answered(String id, int status, boolean last) {
    Entry entry = entry(id);
    count("answers " + status);
    if (status != 0 && !EXPECTED.contains(status)) {
      violate(id, "its submission was answered with status " + status);
    }
    if (status == ACCEPTED) {
      entry.accepted = true;
    } else if (status != TOO_MANY && status != UNAVAILABLE) {
      entry.perhapsAccepted = true;
    }
    entry.givenUp |= last;
    if (last && !entry.accepted && !entry.perhapsAccepted) {
      entry.refused = true;
      if (entry.started) {
        violate(id, "was refused and has run");
      }
    }
  }

  /** Notes that a caller's cancelling was confirmed. */
  void cancelled(String id, long nowMs) {
    Entry entry = entry(id);
    entry.cancelledAtMs = Math.min(entry.cancelledAtMs, nowMs);
  }

  /**
   * Notes what a caller was told about a job.
   *
   * @param state a state, or "gone" or a status if the node does not know the job
   * @param node name of the node that told it
   */
  void shown(String id, String state, String node) {
    Entry entry = entry(id);
    if (entry.accepted && !STATES.contains(state)) {
      violate(id, "was accepted and is shown as " + state + " by " + node);
    }
    if (isFinal(entry.shown) && !state.equals(entry.shown)) {
      String nodes = " (by " + entry.shownBy + ", then by " + node + ")";
      violate(id, "was shown as " + entry.shown + " and then as " + state + nodes);
    }
    if (state.equals("completed") && !allDone(entry)) {
      violate(id, "is shown as completed, but only these tasks have ended: " + entry.done);
    }
    if (state.equals("cancelled") && !entry.job.cancelled()) {
      violate(id, "is shown as cancelled, but nobody cancelled it");
    }
    if (!isFinal(entry.shown)) {
      entry.shown = state;
      entry.shownBy = node;
    }
  }

  /**
   * Notes that a worker has started a run.
   *
   * @param worker the worker
   * @param run the run
   * @param payload text of the order
   * @param checkpoint checkpoint of the order, or empty
   * @param elsewhere runs at all workers
   * @param nowMs the time
   */
  void started(
      String worker,
      RunName run,
      String payload,
      String checkpoint,
      Collection<RunName> elsewhere,
      long nowMs) {
    count("starts");
    String id = run.task().job();
    Entry entry = entries.get(id);
    if (entry == null) {
      violate(id, "runs, but nobody submitted it");
      return;
    }
    entry.started = true;
    if (entry.refused) {
      violate(id, "was refused and runs");
    }
    if (!payload.equals(entry.job.payload())) {
      violate(id, "runs with another payload: " + payload);
    }
    if (!checkpoint.isEmpty() && !entry.checkpoints.contains(checkpoint)) {
      violate(id, "resumes from a checkpoint that is not its own: " + checkpoint);
    }
    long same = elsewhere.stream().filter(other -> other.task().equals(run.task())).count();
    if (same > 1) {
      violate(id, run + " starts at " + worker + " while the task runs elsewhere");
    }
    finishedTasks.onStart(run).ifPresent(wrong -> violate(id, wrong + ", at " + worker));
    boolean calm = nowMs - lastFaultMs > CANCEL_MS;
    if (calm && nowMs - CANCEL_MS > entry.cancelledAtMs) {
      violate(id, run + " starts at " + worker + " long after the job was cancelled");
    }
  }

  /** Notes a checkpoint that a worker reports. */
  void saved(RunName run, String checkpoint) {
    Entry entry = entries.get(run.task().job());
    if (entry != null && !checkpoint.isEmpty()) {
      entry.checkpoints.add(checkpoint);
    }
  }

  /** Notes that a run has ended at its worker. */
  void ended(RunEnd end) {
    count("ends " + end.cause());
    finishedTasks.onEnd(end);
    Entry entry = entries.get(end.run().task().job());
    if (entry != null && end.cause() == Cause.DONE) {
      entry.done.add(end.run().task());
    }
  }

  /** Notes an end that its worker may forget and that stands for good. */
  void noted(RunEnd end) {
    String id = end.run().task().job();
    finishedTasks.onAcknowledged(end).ifPresent(wrong -> violate(id, wrong));
  }

  /** Notes a violation that is not about one job. */
  void violate(String subject, String what) {
    violations.add(subject + " " + what);
  }

  /** Returns the accepted jobs. */
  List<String> accepted() {
    return entries.values().stream()
        .filter(entry -> entry.accepted)
        .map(entry -> entry.job.id())
        .toList();
  }

  /** Returns the jobs that may still be accepted or have not been shown as final. */
  List<String> open() {
    return entries.values().stream()
        .filter(entry -> (entry.accepted || !entry.givenUp) && !isFinal(entry.shown))
        .map(entry -> entry.job.id())
        .toList();
  }

  /**
   * Checks that no accepted job stands still beside idle capacity; to be called often.
   *
   * @param running runs at all workers
   * @param open workers that may get runs
   * @param loadEndMs time at which the last job was submitted
   * @param nowMs the time
   */
  void checkIdleCapacity(
      Collection<RunName> running,
      Collection<SimulatedPoolWorker> open,
      long loadEndMs,
      long nowMs) {
    List<WaitingStep> waiting = waitingSteps(running);
    nothingRan.note(running.isEmpty() && !waiting.isEmpty(), nowMs);
    if (nowMs - Math.max(loadEndMs, lastFaultMs) < IdleCapacityCheck.AFTER_LOAD_MS) {
      idleCapacity.reset();
      return;
    }
    if (!waiting.isEmpty()) {
      count("checks of idle capacity");
    }
    for (String found : idleCapacity.check(nowMs, waiting, open)) {
      if (stoodStill.add(found.substring(0, found.indexOf(' ')))) {
        violate("t=" + nowMs, found);
      }
    }
  }

  /** Returns the steps whose turn has come, of accepted jobs that run nothing. */
  private List<WaitingStep> waitingSteps(Collection<RunName> running) {
    Set<String> busy = new HashSet<>();
    running.forEach(run -> busy.add(run.task().job()));
    return entries.values().stream()
        .filter(entry -> entry.accepted && entry.cancelledAtMs == Long.MAX_VALUE)
        .filter(entry -> !isFinal(entry.shown) && !busy.contains(entry.job.id()))
        .flatMap(
            entry ->
                WaitingStep.of(entry.job.id(), entry.job.steps(), entry.done::contains).stream())
        .toList();
  }

  /** Checks what must hold after all faults have ended and work had time to end. */
  void settle(Collection<RunName> running) {
    for (Entry entry : entries.values()) {
      String id = entry.job.id();
      boolean cancelled = entry.cancelledAtMs != Long.MAX_VALUE;
      if (entry.accepted && !isFinal(entry.shown)) {
        violate(id, "was accepted and is still shown as \"" + entry.shown + "\"");
      } else if (entry.shown.equals("failed") && !entry.job.poisoned()) {
        count("failed by faults");
      }
      boolean runs = running.stream().anyMatch(run -> run.task().job().equals(id));
      if (runs && (cancelled || isFinal(entry.shown))) {
        violate(id, "still runs although it is " + entry.shown);
      }
    }
  }

  List<String> violations() {
    return List.copyOf(violations);
  }

  Map<String, Integer> counts() {
    entries.values().forEach(entry -> count("shown " + entry.shown));
    counts.put("nothing ran ms", (int) nothingRan.longestMs());
    return counts;
  }

  private void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  private Entry entry(String id) {
    return entries.computeIfAbsent(
        id,
        key -> {
          throw new IllegalStateException("no job " + key);
        });
  }

  private static boolean isFinal(String state) {
    return FINAL_STATES.contains(state);
  }

  private static boolean allDone(Entry entry) {
    for (int index = 0; index < entry.job.steps().size(); index++) {
      StepSpec step = entry.job.steps().get(index);
      int number = index;
      long done = entry.done.stream().filter(task -> task.step() == number).count();
      // The end of one member of a gang stands for all.
      if (done < (step.gang() ? 1 : step.count())) {
        return false;
      }
    }
    return true;
  }
}
