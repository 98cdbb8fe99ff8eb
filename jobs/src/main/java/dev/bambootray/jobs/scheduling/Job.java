package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the progress of an accepted job on the owner.
 *
 * <p>Only its open occurrences have steps and tasks in memory: those that are due and not done, and
 * those with runs. All others are known by the records of their tasks.
 */
final class Job {
  /**
   * Limit of open occurrences without any run. Their tasks all need the same, so if that many find
   * no place, a further one would find none either.
   */
  private static final int MAX_UNBEGUN_OCCURRENCES = 100;

  /** Its specification; its payload is dropped in a final phase once no run is known. */
  JobSpec spec;

  /** Time of acceptance by the scheduler's monotonic clock. */
  final long acceptedMs;

  JobPhase phase = JobPhase.QUEUED;
  long finishedWallMs;

  /** Records of the tasks in occurrences that are not open. */
  private final TaskRecords records;

  private final NavigableMap<Integer, Occurrence> open = new TreeMap<>();
  private final int tasksPerOccurrence;

  /** All occurrences before this one have been opened. */
  private int nextOccurrence;

  /** Number of occurrences that are done and not open. */
  private int doneOccurrences;

  private Job(JobSpec spec, List<TaskRecord> saved, long acceptedMs) {
    this.spec = spec;
    this.acceptedMs = acceptedMs;
    records = new TaskRecords(saved);
    tasksPerOccurrence = spec.steps().stream().mapToInt(StepSpec::count).sum();
  }

  /** Creates a job from its specification and, if there is one, its stored record. */
  static Job of(JobSpec spec, @Nullable JobRecord saved, EventTime now) {
    // Clocks of nodes differ, so a time of acceptance in the future counts as now.
    long acceptedMs = now.ms() - Math.max(0, now.wallMs() - spec.acceptedWallMs());
    Job job = new Job(spec, saved == null ? List.of() : saved.tasks(), acceptedMs);
    if (saved != null && saved.phase().isFinal()) {
      job.finish(saved.phase(), saved.finishedWallMs());
      job.closeSettled();
      return job;
    }
    if (saved != null) {
      job.phase = saved.phase();
    }
    job.openBegun();
    job.openDue(now.wallMs());
    return job;
  }

  JobRecord record() {
    return new JobRecord(
        spec.id(), phase, finishedWallMs, phase.isFinal() ? List.of() : taskRecords());
  }

  private List<TaskRecord> taskRecords() {
    TaskRecords all = records.copy();
    open.forEach((number, occurrence) -> save(number, occurrence, all));
    return all.trimmed();
  }

  /** Returns the steps of the open occurrences. */
  List<StepInstance> openSteps() {
    if (open.isEmpty()) {
      return List.of();
    }
    if (open.size() == 1) {
      return open.firstEntry().getValue().steps;
    }
    return open.values().stream().flatMap(occurrence -> occurrence.steps.stream()).toList();
  }

  /** Returns the tasks of the open occurrences. */
  Stream<Task> openTasks() {
    return open.values().stream().flatMap(Occurrence::tasks);
  }

  /** Returns a task after opening its step if necessary, since a worker may list a run of it. */
  Optional<Task> task(TaskName name) {
    boolean exists =
        name.occurrence() >= 0
            && name.occurrence() < spec.schedule().occurrences()
            && name.step() >= 0
            && name.step() < spec.steps().size()
            && name.index() >= 0
            && name.index() < spec.steps().get(name.step()).count();
    if (!exists) {
      return Optional.empty();
    }
    Occurrence occurrence = open.get(name.occurrence());
    if (occurrence == null) {
      occurrence = open(name.occurrence());
    }
    StepInstance step = occurrence.steps.get(name.step());
    step.openNew();
    return Optional.of(step.tasks.get(name.index()));
  }

  boolean isDone() {
    return occurrencesAhead() == 0 && open.values().stream().allMatch(Occurrence::isDone);
  }

  /**
   * Returns whether the steps that a step depends on are done and its scheduled time is reached.
   */
  boolean isDue(StepInstance step, long wallMs) {
    Occurrence occurrence = open.get(step.occurrence);
    return occurrence != null
        && spec.schedule().dueWallMs(step.occurrence) <= wallMs
        && occurrence.isReady(step);
  }

  /** Returns whether a step of an occurrence is done. */
  boolean isDone(int number, int step) {
    Occurrence occurrence = open.get(number);
    return occurrence == null ? isDone(number) : occurrence.steps.get(step).isDone();
  }

  /** Returns how many occurrences are neither open nor done. */
  int occurrencesAhead() {
    return spec.schedule().occurrences() - open.size() - doneOccurrences;
  }

  /** Returns how many tasks of occurrences that are not open have records in memory. */
  int recordedTasks() {
    return records.size();
  }

  /** Opens the occurrences and steps whose turn has come, and closes occurrences that are done. */
  void openDue(long wallMs) {
    closeSettled();
    open.values().forEach(Occurrence::openReadySteps);
    while (nextOccurrence < spec.schedule().occurrences()
        && spec.schedule().dueWallMs(nextOccurrence) <= wallMs
        && mayOpenNext()) {
      if (!open.containsKey(nextOccurrence) && !isDone(nextOccurrence)) {
        open(nextOccurrence);
      }
      nextOccurrence++;
    }
  }

  private boolean mayOpenNext() {
    return open.size() < MAX_UNBEGUN_OCCURRENCES
        || open.values().stream().filter(occurrence -> !occurrence.hasBegun()).count()
            < MAX_UNBEGUN_OCCURRENCES;
  }

  /** Closes the occurrences without runs that are done; in a final phase, all without runs. */
  void closeSettled() {
    open.entrySet().removeIf(entry -> close(entry.getKey(), entry.getValue()));
    if (phase.isFinal() && open.isEmpty() && !spec.payload().isEmpty()) {
      spec = spec.withoutPayload(); // No start order can be repeated any more.
    }
  }

  private boolean close(int number, Occurrence occurrence) {
    if (phase.isFinal()) {
      return occurrence.isIdle();
    }
    if (!occurrence.isDone() || !occurrence.isIdle()) {
      return false;
    }
    save(number, occurrence, records);
    doneOccurrences++;
    return true;
  }

  private void save(int number, Occurrence occurrence, TaskRecords target) {
    target.replace(number * tasksPerOccurrence, occurrence.records());
  }

  private Occurrence open(int number) {
    if (isDone(number)) {
      doneOccurrences--;
    }
    Occurrence occurrence =
        Occurrence.of(this, number, records.range(number * tasksPerOccurrence, tasksPerOccurrence));
    open.put(number, occurrence);
    return occurrence;
  }

  /** Opens the occurrences of which an earlier owner has placed tasks that are not done. */
  private void openBegun() {
    for (int number = 0; number * tasksPerOccurrence < records.size(); number++) {
      List<TaskRecord> saved = records.range(number * tasksPerOccurrence, tasksPerOccurrence);
      if (saved.stream().allMatch(task -> task.state() == State.DONE)) {
        doneOccurrences++;
      } else if (!saved.stream().allMatch(TaskRecord.NEW::equals)) {
        open.put(number, Occurrence.of(this, number, saved));
      }
    }
  }

  /** Returns whether the records of an occurrence say that it is done. */
  private boolean isDone(int number) {
    return records.range(number * tasksPerOccurrence, tasksPerOccurrence).stream()
        .allMatch(task -> task.state() == State.DONE);
  }

  /** Moves the job to a final phase, in which the progress of its tasks is not needed. */
  void finish(JobPhase end, long wallMs) {
    phase = end;
    records.clear();
    finishedWallMs = wallMs;
  }
}
