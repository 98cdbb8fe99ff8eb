package dev.bambootray.core.membership;

import dev.bambootray.core.routing.RegionLoad;
import java.util.List;

/**
 * The state that nodes exchange with every probe; its size is bounded.
 *
 * @param members recent changes of member states
 * @param configurationVersion version of the declaration that the sender holds
 * @param loads newest known loads of regions
 */
public record Gossip(List<MemberState> members, long configurationVersion, List<RegionLoad> loads) {

  /** Copies the lists. */
  public Gossip {
    members = List.copyOf(members);
    loads = List.copyOf(loads);
  }
}
