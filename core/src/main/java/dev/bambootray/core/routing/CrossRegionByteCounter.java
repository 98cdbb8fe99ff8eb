package dev.bambootray.core.routing;

import dev.bambootray.core.model.RegionId;
import java.util.HashMap;
import java.util.Map;

/** Counts the bytes that cross between regions, by pair of regions. */
public final class CrossRegionByteCounter {

  /**
   * An ordered pair of regions.
   *
   * @param from the region that sends
   * @param to the region that receives
   */
  public record Pair(RegionId from, RegionId to) {}

  private final Map<Pair, Long> bytes = new HashMap<>();
  private long total;

  /** Returns a counter at zero. */
  public static CrossRegionByteCounter create() {
    return new CrossRegionByteCounter();
  }

  private CrossRegionByteCounter() {}

  /** Counts bytes from one region to another; bytes within a region are not counted. */
  public void add(RegionId from, RegionId to, long sentBytes) {
    if (!from.equals(to)) {
      bytes.merge(new Pair(from, to), sentBytes, Long::sum);
      total += sentBytes;
    }
  }

  /** Returns the bytes that went from one region to another. */
  public long between(RegionId from, RegionId to) {
    return bytes.getOrDefault(new Pair(from, to), 0L);
  }

  /** Returns the bytes between all pairs of regions. */
  public long total() {
    return total;
  }

  /** Returns a copy of the counts by pair. */
  public Map<Pair, Long> byPair() {
    return Map.copyOf(bytes);
  }
}
