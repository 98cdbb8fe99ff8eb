package dev.bambootray.core.ownership;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import org.jspecify.annotations.Nullable;

/**
 * The content and version of a table row {@code owner/<region>}, which names the owner of a region.
 *
 * @param region the region
 * @param owner the owner, or null after a release
 * @param epoch epoch of the latest owner, 0 if the region never had one
 * @param expiresAtMs end of the lease by the owner's clock, in milliseconds since the epoch; shown
 *     to operators only, since other nodes measure the lease by their own clock
 * @param rowVersion version of the row in the table, 0 if it is absent
 */
public record OwnerRow(
    RegionId region, @Nullable NodeId owner, long epoch, long expiresAtMs, long rowVersion) {

  /** Returns the row of a region that never had an owner. */
  public static OwnerRow absent(RegionId region) {
    return new OwnerRow(region, null, 0, 0, 0);
  }
}
