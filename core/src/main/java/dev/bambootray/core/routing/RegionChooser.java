package dev.bambootray.core.routing;

import static java.util.Objects.requireNonNull;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.model.RegionId;
import java.util.Collection;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the region that serves a request: the local one, unless its expected wait exceeds that of
 * another region by more than the cost of the link.
 *
 * <p>Loads are reported with a lag, so all entry nodes see the same numbers at the same time. To
 * keep the requests from moving to one region all at once, only a share of them spills, and that
 * share grows with the gain.
 */
public final class RegionChooser {
  /** Age at which a load report of another region is ignored, in milliseconds. */
  private static final long MAX_AGE_MS = 3_000;

  /** Time between two load reports in gossip, in milliseconds. */
  private static final double REPORT_INTERVAL_MS = 500;

  /** One-way latency of a link that is not declared, in milliseconds. */
  private static final double DEFAULT_LATENCY_MS = 20;

  private static final double BYTES_PER_KIB = 1_024;

  private final RegionId local;
  private final UniformRandomProvider random;
  private final double costPerKibMs;
  private Map<RegionId, Double> latencyMs = Map.of();
  private long hysteresisMs;
  private @Nullable RegionId slotSpill;
  private @Nullable RegionId gangSpill;

  private RegionChooser(Builder builder) {
    local = requireNonNull(builder.local, "local");
    random = requireNonNull(builder.random, "random");
    costPerKibMs = builder.costPerKibMs;
    declare(requireNonNull(builder.declaration, "declaration"));
  }

  /** Returns a builder of a chooser. */
  public static Builder builder() {
    return new Builder();
  }

  /** Applies a new declaration. */
  public void declare(Declaration declaration) {
    RegionDeclaration region = declaration.regions().get(local);
    latencyMs = region == null ? Map.of() : region.linkLatencyMs();
    hysteresisMs = declaration.policy().spillHysteresisMs();
  }

  /**
   * Returns the region that serves a request that needs a slot.
   *
   * @param bodyBytes bytes that would cross the link
   * @param loads last known load of each region
   * @param nowMs the time in milliseconds since the epoch
   */
  public RegionId chooseForSlot(long bodyBytes, Collection<RegionLoad> loads, long nowMs) {
    RegionLoad best = cheapestOther(bodyBytes, loads, false, nowMs);
    slotSpill = updateSpill(slotSpill, best, bodyBytes, loads, false, nowMs);
    return chooseByShare(slotSpill, best, bodyBytes, loads, false, nowMs);
  }

  /**
   * Returns the region that serves a request that needs a gang.
   *
   * @param bodyBytes bytes that would cross the link
   * @param loads last known load of each region
   * @param nowMs the time in milliseconds since the epoch
   */
  public RegionId chooseForGang(long bodyBytes, Collection<RegionLoad> loads, long nowMs) {
    RegionLoad best = cheapestOther(bodyBytes, loads, true, nowMs);
    gangSpill = updateSpill(gangSpill, best, bodyBytes, loads, true, nowMs);
    return chooseByShare(gangSpill, best, bodyBytes, loads, true, nowMs);
  }

  /** Returns the cost of serving a request in another region: the round trip and its bytes. */
  double linkCostMs(RegionId other, long bodyBytes) {
    double oneWayMs = latencyMs.getOrDefault(other, DEFAULT_LATENCY_MS);
    return 2 * oneWayMs + bodyBytes / BYTES_PER_KIB * costPerKibMs;
  }

  private @Nullable RegionLoad cheapestOther(
      long bodyBytes, Collection<RegionLoad> loads, boolean gang, long nowMs) {
    RegionLoad best = null;
    double bestMs = Double.MAX_VALUE;
    for (RegionLoad load : loads) {
      if (load.region().equals(local) || nowMs - load.measuredAtMs() > MAX_AGE_MS) {
        continue;
      }
      double totalMs = waitMs(load, gang) + linkCostMs(load.region(), bodyBytes);
      if (totalMs < bestMs) {
        best = load;
        bestMs = totalMs;
      }
    }
    return best;
  }

  /**
   * Returns the region to spill to, or null. Spilling starts when the gain exceeds the cost of the
   * link plus the hysteresis, and ends when the gain falls to the cost of the link.
   */
  private @Nullable RegionId updateSpill(
      @Nullable RegionId before,
      @Nullable RegionLoad best,
      long bodyBytes,
      Collection<RegionLoad> loads,
      boolean gang,
      long nowMs) {
    if (best == null) {
      return null;
    }
    double gainMs = localWaitMs(loads, gang, nowMs) - waitMs(best, gang);
    double neededMs = linkCostMs(best.region(), bodyBytes) + (before == null ? hysteresisMs : 0);
    return gainMs > neededMs ? best.region() : null;
  }

  private RegionId chooseByShare(
      @Nullable RegionId spill,
      @Nullable RegionLoad best,
      long bodyBytes,
      Collection<RegionLoad> loads,
      boolean gang,
      long nowMs) {
    if (spill == null || best == null) {
      return local;
    }
    double gainMs = localWaitMs(loads, gang, nowMs) - waitMs(best, gang);
    double share = (gainMs - linkCostMs(spill, bodyBytes)) / REPORT_INTERVAL_MS;
    return random.nextDouble() < share ? spill : local;
  }

  /**
   * Returns the expected wait in the local region, increased by the age of its report if that is
   * stale.
   */
  private double localWaitMs(Collection<RegionLoad> loads, boolean gang, long nowMs) {
    for (RegionLoad load : loads) {
      if (load.region().equals(local)) {
        long ageMs = nowMs - load.measuredAtMs();
        return waitMs(load, gang) + (ageMs > MAX_AGE_MS ? (double) ageMs : 0);
      }
    }
    return Double.MAX_VALUE / 4;
  }

  private static double waitMs(RegionLoad load, boolean gang) {
    return gang ? load.expectedGangWaitMs() : load.expectedSlotWaitMs();
  }

  /** Builds a {@link RegionChooser}. */
  public static final class Builder {
    private @Nullable RegionId local;
    private @Nullable Declaration declaration;
    private @Nullable UniformRandomProvider random;
    private double costPerKibMs = 0.1;

    private Builder() {}

    /** Sets the region of this node. */
    public Builder local(RegionId value) {
      local = value;
      return this;
    }

    /** Sets the declaration, which gives link latencies and the hysteresis. */
    public Builder declaration(Declaration value) {
      declaration = value;
      return this;
    }

    /** Sets the source of random numbers. */
    public Builder random(UniformRandomProvider value) {
      random = value;
      return this;
    }

    /** Sets the cost of a KiB that crosses between regions, in milliseconds; 0.1 if not set. */
    public Builder costPerKibMs(double value) {
      costPerKibMs = value;
      return this;
    }

    /** Returns the chooser. */
    public RegionChooser build() {
      return new RegionChooser(this);
    }
  }
}
