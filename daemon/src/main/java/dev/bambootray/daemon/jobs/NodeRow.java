package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.reach.Peer;

/**
 * The row of a node.
 *
 * @param name name of the node's VM
 * @param address host and port of the node's relay
 * @param failureDomain failure domain of the node
 * @param region region of the node
 * @param format newest format that the node reads, 0 if its build announces none
 * @param writes format in which the node stores rows, 0 if its build announces none
 */
record NodeRow(
    String name, String address, String failureDomain, String region, int format, int writes) {
  static NodeRow of(Peer node, int writes) {
    return new NodeRow(
        node.name(), node.address(), node.failureDomain(), node.region(), node.format(), writes);
  }

  /**
   * Returns the node for calls between nodes.
   *
   * @param table table of the row, which tells the format of a build that announces none
   */
  Peer peer(String table) {
    int unannounced = table.equals(JobTables.NODES_FORMAT_1) ? 1 : 2;
    return new Peer(name, address, failureDomain, region, format == 0 ? unannounced : format);
  }
}
