package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.ports.JobHints;
import dev.bambootray.ports.JobHints.Hint;
import java.util.function.Consumer;

/**
 * Sends hints to the owner of the pool about jobs that this node has stored.
 *
 * <p>The store's change feed can be silent for seconds while the store itself serves calls. Without
 * hints, jobs accepted during that time would wait although workers are free.
 */
final class OwnerHints {
  private final OwnerRows owner;
  private final String process;
  private final JobHints others;
  private final Consumer<Hint> here;

  /**
   * Creates a sender.
   *
   * @param owner holds the newest owner row
   * @param process name of this process
   * @param others sends hints to other nodes
   * @param here receives the hints if this process is the owner
   */
  OwnerHints(OwnerRows owner, String process, JobHints others, Consumer<Hint> here) {
    this.owner = owner;
    this.process = process;
    this.others = others;
    this.here = here;
  }

  void tell(Hint hint) {
    owner.newest().map(OwnerRecord::holder).ifPresent(holder -> tell(holder, hint));
  }

  private void tell(String holder, Hint hint) {
    if (holder.equals(process)) {
      here.accept(hint);
      return;
    }
    int slash = holder.lastIndexOf('/');
    others.tell(slash < 0 ? holder : holder.substring(0, slash), hint);
  }
}
