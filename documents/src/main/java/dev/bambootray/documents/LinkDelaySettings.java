package dev.bambootray.documents;

/**
 * One-way delays that a node adds to what it sends, for demonstrations on loopback.
 *
 * @param betweenRegionsMs delay to nodes and workers of other regions, in milliseconds
 * @param betweenFailureDomainsMs delay to nodes and workers of other failure domains of the region,
 *     in milliseconds
 * @param toClientsMs delay to callers, in milliseconds
 */
public record LinkDelaySettings(
    double betweenRegionsMs, double betweenFailureDomainsMs, double toClientsMs) {

  /** Returns the delays of the deployments: 20, 0.5 and 3 ms. */
  public static LinkDelaySettings defaults() {
    return new LinkDelaySettings(20, 0.5, 3);
  }
}
