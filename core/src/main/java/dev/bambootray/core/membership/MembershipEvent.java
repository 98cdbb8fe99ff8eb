package dev.bambootray.core.membership;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.routing.RegionLoad;
import java.util.List;

/** An input of {@link Membership}. */
public sealed interface MembershipEvent {

  /** Time has passed; expected at least every 100 ms. */
  record Tick() implements MembershipEvent {}

  /**
   * A probe arrived.
   *
   * @param probe the probe
   */
  record ProbeReceived(PeerMessage.Probe probe) implements MembershipEvent {}

  /**
   * The answer to a probe arrived.
   *
   * @param ack the answer
   */
  record ProbeAckReceived(PeerMessage.ProbeAck ack) implements MembershipEvent {}

  /**
   * All rows {@code node/<id>} were read from the table.
   *
   * @param rows the states in the rows
   */
  record NodeRowsRead(List<MemberState> rows) implements MembershipEvent {
    /** Copies the list. */
    public NodeRowsRead {
      rows = List.copyOf(rows);
    }
  }

  /**
   * The platform's list of VMs was read; the list may be out of date.
   *
   * @param vms the VMs that run nodes
   */
  record VmListRead(List<ListedVm> vms) implements MembershipEvent {
    /** Copies the list. */
    public VmListRead {
      vms = List.copyOf(vms);
    }
  }

  /**
   * A VM in the platform's list.
   *
   * @param node the node that it runs
   * @param leaving whether the platform is about to stop it
   */
  record ListedVm(NodeId node, boolean leaving) {}

  /**
   * This node measured the load of the regions that it owns.
   *
   * @param loads the loads
   */
  record LoadsMeasured(List<RegionLoad> loads) implements MembershipEvent {
    /** Copies the list. */
    public LoadsMeasured {
      loads = List.copyOf(loads);
    }
  }

  /**
   * Another version of the declaration is in force on this node.
   *
   * @param version the version, 0 for none
   */
  record ConfigurationVersionChanged(long version) implements MembershipEvent {}

  /**
   * Exchanges of versions with a majority of members are to start, because the table does not
   * answer, or to stop.
   *
   * @param wanted true to start, false to stop
   */
  record ExchangesWanted(boolean wanted) implements MembershipEvent {}

  /** This node begins a planned stop. */
  record LeaveRequested() implements MembershipEvent {}

  /** This node has finished its planned stop and its process is about to end. */
  record LeaveCompleted() implements MembershipEvent {}
}
