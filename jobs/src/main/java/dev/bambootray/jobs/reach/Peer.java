package dev.bambootray.jobs.reach;

/**
 * Describes another node that can relay calls to the store.
 *
 * @param name name of the node's VM
 * @param address host and port of the node's relay
 * @param failureDomain failure domain of the node
 * @param region region of the node
 * @param format newest format of stored rows and of calls that the node reads
 */
public record Peer(String name, String address, String failureDomain, String region, int format) {
  /** Newest format that this build reads. */
  public static final int FORMAT = 3;

  /** Describes a node of this build. */
  public Peer(String name, String address, String failureDomain, String region) {
    this(name, address, failureDomain, region, FORMAT);
  }
}
