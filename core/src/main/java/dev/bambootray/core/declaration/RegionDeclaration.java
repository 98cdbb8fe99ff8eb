package dev.bambootray.core.declaration;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RegionId;
import java.util.List;
import java.util.Map;

/**
 * A region and its links to other regions.
 *
 * @param id the region
 * @param failureDomains its failure domains
 * @param linkLatencyMs one-way latency to other regions in milliseconds, by region
 */
public record RegionDeclaration(
    RegionId id, List<FailureDomainId> failureDomains, Map<RegionId, Double> linkLatencyMs) {

  /** Copies the collections. */
  public RegionDeclaration {
    failureDomains = List.copyOf(failureDomains);
    linkLatencyMs = Map.copyOf(linkLatencyMs);
  }
}
