package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.lead.LeaseEvent;
import java.util.Optional;

/** Tells the lease when to leave the pool to nodes of a newer build, and when to return. */
final class PoolPreference {
  private final StoreFormats formats;
  private final String node;
  private final DecisionLog log;
  private boolean aside;

  PoolPreference(StoreFormats formats, String node, DecisionLog log) {
    this.formats = formats;
    this.node = node;
    this.log = log;
  }

  /** Returns an event for the lease if the preference has changed since the last call. */
  Optional<LeaseEvent> changed() {
    boolean before = aside;
    aside = formats.leavesPoolToNewer();
    if (aside == before) {
      return Optional.empty();
    }
    log.line("owner:", node, aside ? "leaves the pool to a newer build" : "may own the pool again");
    return Optional.of(aside ? new LeaseEvent.StepAside() : new LeaseEvent.Return());
  }
}
