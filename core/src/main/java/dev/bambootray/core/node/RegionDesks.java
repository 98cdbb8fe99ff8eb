package dev.bambootray.core.node;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.routing.RegionLoad;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/** The desks of the regions that this node owns. */
final class RegionDesks {
  private final NodeContext context;
  private final BiConsumer<RegionId, Long> onFenced;
  private final Map<RegionId, RegionDesk> desks = new HashMap<>();

  RegionDesks(NodeContext context, BiConsumer<RegionId, Long> onFenced) {
    this.context = context;
    this.onFenced = onFenced;
  }

  void open(Ownership ownership, long nowMs) {
    RegionDesk desk =
        new RegionDesk(context, ownership, epoch -> onFenced.accept(ownership.region(), epoch));
    desks.put(ownership.region(), desk);
    desk.begin(nowMs);
  }

  void close(Ownership ownership) {
    RegionDesk desk = desks.remove(ownership.region());
    if (desk != null) {
      desk.close();
    }
  }

  List<RegionLoad> loads(long nowMs) {
    return desks.values().stream().map(desk -> desk.load(nowMs)).toList();
  }

  void vmLeaving(WorkerId worker, long nowMs) {
    desks.values().forEach(desk -> desk.vmLeaving(worker, nowMs));
  }

  void declarationChanged(long nowMs) {
    List.copyOf(desks.values()).forEach(desk -> desk.declarationChanged(nowMs));
  }

  void tick(long nowMs) {
    List.copyOf(desks.values()).forEach(desk -> desk.tick(nowMs));
  }

  void receive(PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.SubmitRequest submit) {
      RegionDesk desk =
          find(submit.sender(), submit.region(), submit.epoch(), List.of(submit.spec().key()));
      if (desk != null) {
        desk.submit(submit, nowMs);
      }
    } else if (message instanceof PeerMessage.AwaitRequest await) {
      RegionDesk desk = find(await.sender(), await.region(), await.epoch(), List.of(await.key()));
      if (desk != null) {
        desk.await(await.key(), await.sender());
      }
    } else if (message instanceof PeerMessage.CancelRequests cancel) {
      RegionDesk desk = find(cancel.sender(), cancel.region(), cancel.epoch(), cancel.keys());
      if (desk != null) {
        desk.cancel(cancel.keys(), nowMs);
      }
    } else if (message instanceof PeerMessage.ExplainRequest explain) {
      RegionDesk desk =
          find(explain.sender(), explain.region(), explain.epoch(), List.of(explain.key()));
      if (desk != null) {
        context
            .routes()
            .toNode(
                explain.sender(),
                new PeerMessage.ExplainReply(
                    context.identity().node(),
                    explain.correlation(),
                    desk.explain(explain.key(), nowMs)));
      }
    } else if (message instanceof PeerMessage.DrainWorker drain) {
      RegionDesk desk = find(drain.sender(), drain.region(), drain.epoch(), List.of());
      if (desk != null) {
        desk.drainWorker(drain.worker(), drain.drain(), nowMs);
      }
    }
  }

  /** Returns the desk of a region if it has the epoch that the sender believes in. */
  private @Nullable RegionDesk find(
      dev.bambootray.core.model.NodeId sender, RegionId region, long epoch, List<RequestKey> keys) {
    RegionDesk desk = desks.get(region);
    if (desk != null && desk.ownership().epoch() == epoch) {
      return desk;
    }
    Ownership known = context.routes().ownerOf(region);
    context
        .routes()
        .toNode(
            sender,
            new PeerMessage.OwnerMismatch(
                context.identity().node(), region, known == null ? 0 : known.epoch(), keys));
    return null;
  }
}
