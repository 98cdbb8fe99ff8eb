package dev.bambootray.core.store;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import java.util.Locale;

/** Keys of the rows that hold the state of the cluster. */
public final class RowKeys {
  /** Prefix of the rows of nodes. */
  public static final String NODE_PREFIX = "node/";

  /** Prefix of the rows of owners. */
  public static final String OWNER_PREFIX = "owner/";

  /** Row that names the current version of the declaration. */
  public static final String CONFIGURATION_CURRENT = "config/current";

  /** Prefix of the rows that hold all versions of the declaration. */
  public static final String CONFIGURATION_HISTORY_PREFIX = "config/history/";

  private RowKeys() {}

  /** Returns the row of a node. */
  public static String node(NodeId node) {
    return NODE_PREFIX + node.value();
  }

  /** Returns the row of a region's owner. */
  public static String owner(RegionId region) {
    return OWNER_PREFIX + region.value();
  }

  /** Returns the row of a declaration, padded so that the order of keys is that of versions. */
  public static String configurationHistory(long version) {
    return CONFIGURATION_HISTORY_PREFIX + String.format(Locale.ROOT, "%012d", version);
  }
}
