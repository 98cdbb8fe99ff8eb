package dev.bambootray.jobs.reach;

/**
 * Another node that may carry out calls of the store.
 *
 * @param name name of its VM
 * @param address host and port of its relay
 * @param failureDomain its failure domain
 * @param region its region
 */
public record Peer(String name, String address, String failureDomain, String region) {}
