package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Tracks one step in one occurrence of a job. */
final class StepInstance {
  final Job job;
  final int occurrence;
  final int index;
  final StepSpec spec;

  /** Its tasks, or none until it is open. */
  final List<Task> tasks = new ArrayList<>(0);

  private boolean open;

  /** Newest run number whose failure was counted, so that each run of a gang counts once. */
  int lastCountedFailedRun;

  /** Number of reclaims for this step since its last placement. */
  int reclaims;

  /** Earliest time of the next reclaim for this step. */
  long nextReclaimMs;

  /** Time of the last reclaim for this step. */
  long lastReclaimMs;

  /** Time since which its tasks could be placed, or -1 if they cannot. */
  long readySinceMs = -1;

  /** Time at which its tasks could be placed for the first time, or -1 if they could not yet. */
  private long firstReadyMs = -1;

  /** Whether all its tasks have been running at the same time. */
  private boolean begun;

  StepInstance(Job job, int occurrence, int index, StepSpec spec) {
    this.job = job;
    this.occurrence = occurrence;
    this.index = index;
    this.spec = spec;
  }

  /** Creates its tasks, once it may start or an earlier owner has started some of them. */
  void open(List<TaskRecord> records) {
    if (open) {
      return;
    }
    open = true;
    for (int task = 0; task < spec.count(); task++) {
      TaskName name = new TaskName(job.spec.id(), occurrence, index, task);
      tasks.add(new Task(this, name, records.get(task)));
    }
  }

  /** Creates its tasks, none of which has ever run. */
  void openNew() {
    open(Collections.nCopies(spec.count(), TaskRecord.NEW));
  }

  /** Returns the records of its tasks. */
  List<TaskRecord> records() {
    return open
        ? tasks.stream().map(Task::record).toList()
        : Collections.nCopies(spec.count(), TaskRecord.NEW);
  }

  boolean isOpen() {
    return open;
  }

  boolean isDone() {
    for (Task task : tasks) {
      if (task.state != State.DONE) {
        return false;
      }
    }
    return open;
  }

  /** Returns how many of its tasks are not done. */
  int unfinishedTasks() {
    if (!open) {
      return spec.count();
    }
    int unfinished = 0;
    for (Task task : tasks) {
      unfinished += task.state == State.DONE ? 0 : 1;
    }
    return unfinished;
  }

  boolean isGang() {
    return spec.gang() && spec.count() > 1;
  }

  /** Returns the tasks that may be placed now beside others; for a gang all or none. */
  List<Task> readyTasks() {
    List<Task> ready = tasks.stream().filter(Task::isPlaceable).toList();
    return isGang() && ready.size() < tasks.size() ? List.of() : ready;
  }

  /** Returns whether {@link #readyTasks} is not empty. */
  boolean hasReadyTasks() {
    if (!open) {
      return false;
    }
    boolean gang = isGang();
    for (Task task : tasks) {
      if (task.isPlaceable() != gang) {
        return !gang;
      }
    }
    return gang;
  }

  /**
   * Records that its tasks can be placed. A step that follows no other could already be placed when
   * the job was accepted or due, although the owner may have heard of it later.
   */
  void becomeReady(EventTime now) {
    if (readySinceMs < 0) {
      readySinceMs = now.ms();
    }
    if (firstReadyMs < 0) {
      long dueMs = now.ms() - (now.wallMs() - job.spec.schedule().dueWallMs(occurrence));
      firstReadyMs = spec.after().isEmpty() ? Math.max(job.acceptedMs, dueMs) : now.ms();
    }
  }

  /** Records that one of its runs is known to have started. */
  void onRunStarted() {
    begun |= tasks.stream().allMatch(Task::isRunning);
  }

  /** Returns since when its tasks have been waiting to begin, or to begin again. */
  long waitingSinceMs() {
    return begun ? readySinceMs : firstReadyMs;
  }

  int nextRun() {
    return tasks.stream().mapToInt(task -> task.run).max().orElse(0) + 1;
  }

  String label() {
    return job.spec.id() + "/" + occurrence + "." + index;
  }
}
