package dev.bambootray.core.membership;

import static java.util.Comparator.comparing;

import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.routing.RegionLoad;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Selects the content of probes: recent changes first, then one other member in rotation. */
final class GossipBuffer {
  /** Maximum number of member states in a message. */
  static final int MAX_MEMBERS = 8;

  /** Maximum number of region loads in a message. */
  static final int MAX_LOADS = 3;

  /**
   * Number of messages that carry a new load. With 2, some of 9 nodes did not receive the load of a
   * region for 74 s.
   */
  private static final int LOAD_TRANSMISSIONS = 4;

  private final Map<NodeId, Integer> memberTransmissionsLeft = new LinkedHashMap<>();
  private final Map<RegionId, RegionLoad> loads = new TreeMap<>();
  private final Map<RegionId, Integer> loadTransmissionsLeft = new LinkedHashMap<>();
  private int nextFiller;

  /** Schedules the changed state of a member for the next messages. */
  void memberChanged(NodeId node, int memberCount) {
    int steps = Integer.SIZE - Integer.numberOfLeadingZeros(memberCount);
    memberTransmissionsLeft.put(node, 6 + 2 * steps);
  }

  /** Removes a member. */
  void memberRemoved(NodeId node) {
    memberTransmissionsLeft.remove(node);
  }

  /** Stores a load if it is newer than the known one; returns whether it is. */
  boolean offerLoad(RegionLoad load) {
    RegionLoad known = loads.get(load.region());
    if (known != null && !isNewer(load, known)) {
      return false;
    }
    loads.put(load.region(), load);
    loadTransmissionsLeft.put(load.region(), LOAD_TRANSMISSIONS);
    return true;
  }

  /** Returns the newest known loads. */
  List<RegionLoad> loads() {
    return List.copyOf(loads.values());
  }

  /**
   * Returns the gossip of the next message to a node.
   *
   * @param members all known states by node
   * @param first states that the message must carry
   */
  Gossip next(
      Map<NodeId, MemberState> members, Collection<MemberState> first, long configurationVersion) {
    Map<NodeId, MemberState> chosen = new LinkedHashMap<>();
    first.forEach(state -> chosen.put(state.node(), state));
    for (NodeId node : mostRecent(memberTransmissionsLeft)) {
      MemberState state = members.get(node);
      if (chosen.size() < MAX_MEMBERS && state != null) {
        chosen.put(node, state);
        countDown(memberTransmissionsLeft, node);
      }
    }
    MemberState filler = filler(members);
    if (filler != null && chosen.size() < MAX_MEMBERS) {
      chosen.putIfAbsent(filler.node(), filler);
    }
    List<RegionLoad> chosenLoads = new ArrayList<>();
    for (RegionId region : mostRecent(loadTransmissionsLeft)) {
      RegionLoad load = loads.get(region);
      if (chosenLoads.size() < MAX_LOADS && load != null) {
        chosenLoads.add(load);
        countDown(loadTransmissionsLeft, region);
      }
    }
    return new Gossip(List.copyOf(chosen.values()), configurationVersion, chosenLoads);
  }

  private @Nullable MemberState filler(Map<NodeId, MemberState> members) {
    if (members.isEmpty()) {
      return null;
    }
    nextFiller = (nextFiller + 1) % members.size();
    return members.values().stream().skip(nextFiller).findFirst().orElse(null);
  }

  private static <K> List<K> mostRecent(Map<K, Integer> transmissionsLeft) {
    return transmissionsLeft.entrySet().stream()
        .sorted(comparing((Map.Entry<K, Integer> entry) -> -entry.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  private static <K> void countDown(Map<K, Integer> transmissionsLeft, K key) {
    transmissionsLeft.computeIfPresent(key, (k, left) -> left > 1 ? left - 1 : null);
  }

  private static boolean isNewer(RegionLoad load, RegionLoad known) {
    return load.epoch() != known.epoch()
        ? load.epoch() > known.epoch()
        : load.measuredAtMs() > known.measuredAtMs();
  }
}
