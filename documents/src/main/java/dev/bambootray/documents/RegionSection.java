package dev.bambootray.documents;

import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.documents.json.JsonValue.Member;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The regions of a document.
 *
 * @param regions the regions by identifier
 * @param regionOfDomain the region of each failure domain
 */
record RegionSection(
    Map<RegionId, RegionDeclaration> regions, Map<FailureDomainId, RegionId> regionOfDomain) {
  private static final double MAX_LATENCY_MS = 60_000;

  /** Reads the section. */
  static RegionSection read(ObjectCursor document, DeclaredIds ids, Problems problems) {
    Map<RegionId, RegionDeclaration> regions = new HashMap<>();
    Map<FailureDomainId, RegionId> regionOfDomain = new HashMap<>();
    for (ObjectCursor region : document.objects("regions")) {
      int before = problems.count();
      String id = region.identifier("id");
      List<FailureDomainId> domains = new ArrayList<>();
      for (String domain : region.identifiers("failureDomains")) {
        domains.add(FailureDomainId.of(domain));
      }
      if (domains.isEmpty() && problems.count() == before) {
        region.reject("failureDomains", "no failure domain", "at least one");
      }
      Map<RegionId, Double> latencies = readLatencies(region, id, ids);
      region.finish();
      if (id.isEmpty()) {
        continue;
      }
      RegionId regionId = RegionId.of(id);
      for (FailureDomainId domain : domains) {
        RegionId other = regionOfDomain.putIfAbsent(domain, regionId);
        if (other != null) {
          region.reject(
              "failureDomains",
              "failure domain \"" + domain + "\" of region \"" + other + "\"",
              "each failure domain in one region");
        }
      }
      regions.put(regionId, new RegionDeclaration(regionId, domains, latencies));
    }
    return new RegionSection(regions, regionOfDomain);
  }

  private static Map<RegionId, Double> readLatencies(
      ObjectCursor region, String ownId, DeclaredIds ids) {
    Map<RegionId, Double> result = new HashMap<>();
    ObjectCursor links = region.objectOrEmpty("linkLatencyMs");
    for (Map.Entry<String, Member> link : links.members().entrySet()) {
      String other = link.getKey();
      String path = links.pathOf(other);
      ids.check(other, "regions", link.getValue().place(), path);
      if (other.equals(ownId)) {
        region.reject("linkLatencyMs", "a link of the region to itself", "other regions");
      }
      double latencyMs =
          links.numberOf(link.getValue().value(), "linkLatencyMs", path, 0, MAX_LATENCY_MS);
      if (isDeclarable(other)) {
        result.put(RegionId.of(other), latencyMs);
      }
    }
    return result;
  }

  private static boolean isDeclarable(String id) {
    try {
      RegionId.of(id);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }
}
