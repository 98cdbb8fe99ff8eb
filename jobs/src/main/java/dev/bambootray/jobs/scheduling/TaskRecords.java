package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.model.TaskRecord.State;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the records of the tasks of a job in the order of occurrence, step and index.
 *
 * <p>Tasks beyond its end have never run, and common records are shared, so that occurrences which
 * are done or far ahead take little memory.
 */
final class TaskRecords {
  private static final TaskRecord DONE_ONCE = new TaskRecord(State.DONE, 1, 0, "", "");

  private final ArrayList<TaskRecord> records;

  TaskRecords(List<TaskRecord> saved) {
    records = new ArrayList<>(saved.size());
    saved.forEach(saving -> records.add(shared(saving)));
  }

  int size() {
    return records.size();
  }

  /** Returns the records of a range of tasks. */
  List<TaskRecord> range(int from, int count) {
    List<TaskRecord> range = new ArrayList<>(count);
    for (int i = from; i < from + count; i++) {
      range.add(i < records.size() ? records.get(i) : TaskRecord.NEW);
    }
    return range;
  }

  /** Replaces the records of a range of tasks that begins at the given index. */
  void replace(int from, List<TaskRecord> range) {
    while (records.size() < from + range.size()) {
      records.add(TaskRecord.NEW);
    }
    for (int i = 0; i < range.size(); i++) {
      records.set(from + i, shared(range.get(i)));
    }
  }

  /** Returns a copy without the records of tasks at its end that have never run. */
  List<TaskRecord> trimmed() {
    int end = records.size();
    while (end > 0 && records.get(end - 1).equals(TaskRecord.NEW)) {
      end--;
    }
    return List.copyOf(records.subList(0, end));
  }

  void clear() {
    records.clear();
    records.trimToSize();
  }

  /** Returns an independent copy. */
  TaskRecords copy() {
    return new TaskRecords(records);
  }

  private static TaskRecord shared(TaskRecord saved) {
    if (saved.equals(TaskRecord.NEW)) {
      return TaskRecord.NEW;
    }
    return saved.equals(DONE_ONCE) ? DONE_ONCE : saved;
  }
}
