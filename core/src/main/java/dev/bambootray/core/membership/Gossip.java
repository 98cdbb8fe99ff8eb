package dev.bambootray.core.membership;

import dev.bambootray.core.routing.RegionLoad;
import java.util.List;

/**
 * What nodes tell each other with every probe; bounded in size.
 *
 * @param members recent changes of member states
 * @param configurationVersion version of the declaration that the sender holds
 * @param loads load of regions, newest known
 */
public record Gossip(List<MemberState> members, long configurationVersion, List<RegionLoad> loads) {

  /** Copies the lists. */
  public Gossip {
    members = List.copyOf(members);
    loads = List.copyOf(loads);
  }
}
