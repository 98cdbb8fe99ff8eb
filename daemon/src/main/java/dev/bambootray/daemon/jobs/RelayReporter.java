package dev.bambootray.daemon.jobs;

import dev.bambootray.adapters.relay.RelayedRowStore;
import dev.bambootray.jobs.reach.Peer;

/** Logs and counts the store calls of a node that are relayed through other nodes. */
public final class RelayReporter implements RelayedRowStore.Listener {
  private final String node;
  private final DecisionLog log;
  private final JobMetrics metrics;

  /**
   * Creates a listener.
   *
   * @param node name of this node
   * @param log the decision log, which gets a line when the way to the store changes
   * @param metrics counts the relayed calls
   */
  public RelayReporter(String node, DecisionLog log, JobMetrics metrics) {
    this.node = node;
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public void onCutOff(Peer helper) {
    log.line("store:", node, "reached through another node, first=" + helper.name());
  }

  @Override
  public void onRelayed() {
    metrics.relayed(true);
  }

  @Override
  public void onPeersFailed(boolean first) {
    metrics.relayed(false);
    if (first) {
      log.line("store:", node, "not reached through other nodes either");
    }
  }
}
