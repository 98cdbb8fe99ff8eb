package dev.bambootray.standins.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.Set;

/** Creates registry entries of simulated workers. */
final class WorkerEntries {
  private WorkerEntries() {}

  /** Returns the entry of a worker that runs nothing. */
  static WorkerEntry idle(String id, String domain, String rack, Resources capacity) {
    return new WorkerEntry(
        id, "s", "10.0.0.1:80", domain, rack, Set.of("kind", rack), capacity, 1, false);
  }

  /** Returns the entry of a worker that is leaving. */
  static WorkerEntry draining(WorkerEntry entry) {
    return copy(entry, entry.id(), true);
  }

  /** Returns the entry of another worker on the machine of an earlier one. */
  static WorkerEntry replacement(WorkerEntry entry, String id) {
    return copy(entry, id, false);
  }

  private static WorkerEntry copy(WorkerEntry entry, String id, boolean draining) {
    return new WorkerEntry(
        id,
        entry.service(),
        entry.address(),
        entry.zone(),
        entry.rack(),
        entry.labels(),
        entry.capacity(),
        entry.bornMs(),
        draining);
  }
}
