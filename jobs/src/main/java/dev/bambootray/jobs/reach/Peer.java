package dev.bambootray.jobs.reach;

/**
 * Describes another node that can relay calls to the store.
 *
 * @param name name of the node's VM
 * @param address host and port of the node's relay
 * @param failureDomain failure domain of the node
 * @param region region of the node
 */
public record Peer(String name, String address, String failureDomain, String region) {}
