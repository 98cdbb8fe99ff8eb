package dev.bambootray.daemon;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.documents.LinkDelaySettings;
import dev.bambootray.ports.PeerNetwork.PeerAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Maps the addresses of peers and workers to their region and failure domain.
 *
 * <p>From these it derives emulated link delays for demos and counts the bytes sent to each region.
 */
final class PeerLocations {
  private final Location self;
  private final @Nullable LinkDelaySettings delays;
  private final Map<PeerAddress, Location> locations = new ConcurrentHashMap<>();
  private final Map<RegionId, LongAdder> bytesByRegion = new ConcurrentHashMap<>();

  PeerLocations(RegionId region, FailureDomainId domain, @Nullable LinkDelaySettings delays) {
    this.self = new Location(region, domain);
    this.delays = delays;
  }

  void add(MemberState member) {
    locations.put(
        new PeerAddress(member.host(), member.peerPort()),
        new Location(member.region(), member.failureDomain()));
  }

  void add(Declaration declaration) {
    for (WorkerDeclaration worker : declaration.workers().values()) {
      locations.put(
          new PeerAddress(worker.host(), worker.port()),
          new Location(worker.region(), worker.failureDomain()));
    }
  }

  /** Returns the emulated one-way latency to an address in microseconds, 0 if none is set. */
  long oneWayMicros(PeerAddress address) {
    Location place = locations.get(address);
    if (delays == null || place == null) {
      return 0;
    }
    if (!place.region().equals(self.region())) {
      return Math.round(delays.betweenRegionsMs() * 1_000);
    }
    return place.domain().equals(self.domain())
        ? 0
        : Math.round(delays.betweenFailureDomainsMs() * 1_000);
  }

  /** Counts bytes sent to an address; unknown addresses are not counted. */
  void countSent(PeerAddress address, int sizeBytes) {
    Location place = locations.get(address);
    if (place != null) {
      bytesByRegion.computeIfAbsent(place.region(), region -> new LongAdder()).add(sizeBytes);
    }
  }

  @Nullable RegionId regionOf(PeerAddress address) {
    Location place = locations.get(address);
    return place == null ? null : place.region();
  }

  /** Returns the bytes sent to other regions. */
  long crossRegionBytes() {
    return bytesByRegion.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(self.region()))
        .mapToLong(entry -> entry.getValue().sum())
        .sum();
  }

  /**
   * The location of a peer or worker.
   *
   * @param region its region
   * @param domain its failure domain
   */
  private record Location(RegionId region, FailureDomainId domain) {}
}
