package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.lead.OwnerRecord;
import dev.bambootray.ports.JobHintSender;
import dev.bambootray.ports.JobHintSender.Hint;
import java.util.function.Consumer;

/**
 * Sends hints to the owner of the pool about jobs that this node has stored.
 *
 * <p>The store's change feed can be silent for seconds while the store itself serves calls. Without
 * hints, jobs accepted during that time would wait although workers are free.
 */
final class OwnerHintSender {
  private final OwnerRowStore owner;
  private final String process;
  private final JobHintSender remoteHints;
  private final Consumer<Hint> localReceiver;

  /**
   * Creates a sender.
   *
   * @param owner holds the newest owner row
   * @param process name of this process
   * @param remoteHints sends hints to other nodes
   * @param localReceiver receives the hints if this process is the owner
   */
  OwnerHintSender(
      OwnerRowStore owner,
      String process,
      JobHintSender remoteHints,
      Consumer<Hint> localReceiver) {
    this.owner = owner;
    this.process = process;
    this.remoteHints = remoteHints;
    this.localReceiver = localReceiver;
  }

  void send(Hint hint) {
    owner.newest().map(OwnerRecord::holder).ifPresent(holder -> send(holder, hint));
  }

  private void send(String holder, Hint hint) {
    if (holder.equals(process)) {
      localReceiver.accept(hint);
      return;
    }
    int slash = holder.lastIndexOf('/');
    remoteHints.send(slash < 0 ? holder : holder.substring(0, slash), hint);
  }
}
