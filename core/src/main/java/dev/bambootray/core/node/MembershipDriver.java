package dev.bambootray.core.node;

import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.Membership;
import dev.bambootray.core.membership.MembershipEffect;
import dev.bambootray.core.membership.MembershipEvent;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.RegionLoad;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.TableTransaction;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Carries out the effects of the node's {@link Membership}: reads and writes its rows in the table,
 * reads the list of VMs, sends probes to peers and informs the other parts of the node.
 */
final class MembershipDriver {
  private static final String PREFIX = "node/";
  private static final int MAX_NODES = 1_000;

  private final NodeContext context;
  private final RowCodec codec;
  private final Membership state;
  private final Listener listener;
  private final Map<NodeId, MemberState> members = new HashMap<>();

  MembershipDriver(NodeContext context, RowCodec codec, Membership state, Listener listener) {
    this.context = context;
    this.codec = codec;
    this.state = state;
    this.listener = listener;
    members.put(state.self().node(), state.self());
  }

  @Nullable MemberState find(NodeId node) {
    return members.get(node);
  }

  List<MemberState> members() {
    return state.members();
  }

  List<RegionLoad> loads() {
    return state.loads();
  }

  void handle(MembershipEvent event) {
    state.handle(event, context.now()).forEach(this::apply);
  }

  private void apply(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.SendProbe send) {
      if (send.freshConnection()) {
        context.outbox().add(new NodeEffect.ResetPeer(send.target()));
      }
      context.outbox().add(new NodeEffect.SendPeer(send.target(), send.probe()));
    } else if (effect instanceof MembershipEffect.SendProbeAck send) {
      context.outbox().add(new NodeEffect.SendPeer(send.target(), send.ack()));
    } else if (effect instanceof MembershipEffect.MemberChanged changed) {
      memberChanged(changed.member());
    } else if (effect instanceof MembershipEffect.MemberRemoved removed) {
      members.remove(removed.node());
      listener.membersChanged();
    } else if (effect instanceof MembershipEffect.VersionAnnounced announced) {
      listener.versionAnnounced(announced);
    } else if (effect instanceof MembershipEffect.VersionExchanged exchanged) {
      listener.versionExchanged(exchanged);
    } else if (effect instanceof MembershipEffect.LoadLearned learned) {
      listener.loadLearned(learned.load());
    } else if (effect instanceof MembershipEffect.ReadNodeRows) {
      context.store().scan(PREFIX, null, MAX_NODES, this::nodeRowsRead);
    } else if (effect instanceof MembershipEffect.ReadVmList) {
      context.outbox().listVms(this::vmsListed);
    } else if (effect instanceof MembershipEffect.WriteNodeRow write) {
      writeRow(write.state().node(), codec.encodeMember(write.state()));
    } else if (effect instanceof MembershipEffect.DeleteNodeRow delete) {
      writeRow(delete.node(), null);
    } else if (effect instanceof MembershipEffect.OwnVmLeaving) {
      listener.ownVmLeaving();
    }
  }

  private void memberChanged(MemberState member) {
    MemberState previous = members.put(member.node(), member);
    if (previous == null || previous.status() != member.status()) {
      context
          .outbox()
          .report("member:", "member", member.node(), "The node is " + member.status() + ".");
    }
    listener.membersChanged();
  }

  private void nodeRowsRead(Either<StoreError, RowPage> outcome) {
    if (outcome.isLeft()) {
      return;
    }
    List<MemberState> rows = new ArrayList<>();
    outcome.get().rows().forEach(row -> codec.decodeMember(row.value()).peek(rows::add));
    handle(new MembershipEvent.NodeRowsRead(rows));
  }

  private void vmsListed(Either<StoreError, Map<String, Boolean>> outcome) {
    if (outcome.isLeft()) {
      return;
    }
    List<MembershipEvent.ListedVm> nodes = new ArrayList<>();
    outcome
        .get()
        .forEach(
            (name, leaving) -> {
              NodeId node = NodeId.of(name);
              if (members.containsKey(node)) {
                nodes.add(new MembershipEvent.ListedVm(node, leaving));
              } else if (leaving) {
                listener.workerVmLeaving(WorkerId.of(name));
              }
            });
    handle(new MembershipEvent.VmListRead(nodes));
  }

  private void writeRow(NodeId node, @Nullable String json) {
    context
        .store()
        .commitOnce(
            new TableTransaction(
                context.tokens().next(),
                List.of(new RowWrite(PREFIX + node, json, RowWrite.ANY_VERSION))),
            ignored -> {});
  }

  /** Receives the changes that the membership reports. */
  interface Listener {
    void membersChanged();

    void versionAnnounced(MembershipEffect.VersionAnnounced announced);

    void versionExchanged(MembershipEffect.VersionExchanged exchanged);

    void loadLearned(RegionLoad load);

    void workerVmLeaving(WorkerId worker);

    void ownVmLeaving();
  }
}
