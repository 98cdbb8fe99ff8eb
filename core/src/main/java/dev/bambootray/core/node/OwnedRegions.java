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

/** Holds the controllers of the regions that this node owns and passes messages to them. */
final class OwnedRegions {
  private final NodeContext context;
  private final BiConsumer<RegionId, Long> onFenced;
  private final Map<RegionId, RegionController> controllers = new HashMap<>();

  OwnedRegions(NodeContext context, BiConsumer<RegionId, Long> onFenced) {
    this.context = context;
    this.onFenced = onFenced;
  }

  void open(Ownership ownership, long nowMs) {
    RegionController controller =
        new RegionController(
            context, ownership, epoch -> onFenced.accept(ownership.region(), epoch));
    controllers.put(ownership.region(), controller);
    controller.begin(nowMs);
  }

  void close(Ownership ownership) {
    RegionController controller = controllers.remove(ownership.region());
    if (controller != null) {
      controller.close();
    }
  }

  List<RegionLoad> loads(long nowMs) {
    return controllers.values().stream().map(controller -> controller.load(nowMs)).toList();
  }

  void vmLeaving(WorkerId worker, long nowMs) {
    controllers.values().forEach(controller -> controller.vmLeaving(worker, nowMs));
  }

  void declarationChanged(long nowMs) {
    List.copyOf(controllers.values()).forEach(controller -> controller.declarationChanged(nowMs));
  }

  void tick(long nowMs) {
    List.copyOf(controllers.values()).forEach(controller -> controller.tick(nowMs));
  }

  void receive(PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.SubmitRequest submit) {
      RegionController controller =
          find(submit.sender(), submit.region(), submit.epoch(), List.of(submit.spec().key()));
      if (controller != null) {
        controller.submit(submit, nowMs);
      }
    } else if (message instanceof PeerMessage.AwaitRequest await) {
      RegionController controller =
          find(await.sender(), await.region(), await.epoch(), List.of(await.key()));
      if (controller != null) {
        controller.await(await.key(), await.sender());
      }
    } else if (message instanceof PeerMessage.CancelRequests cancel) {
      RegionController controller =
          find(cancel.sender(), cancel.region(), cancel.epoch(), cancel.keys());
      if (controller != null) {
        controller.cancel(cancel.keys(), nowMs);
      }
    } else if (message instanceof PeerMessage.ExplainRequest explain) {
      RegionController controller =
          find(explain.sender(), explain.region(), explain.epoch(), List.of(explain.key()));
      if (controller != null) {
        context
            .routes()
            .toNode(
                explain.sender(),
                new PeerMessage.ExplainReply(
                    context.identity().node(),
                    explain.correlation(),
                    controller.explain(explain.key(), nowMs)));
      }
    } else if (message instanceof PeerMessage.DrainWorker drain) {
      RegionController controller = find(drain.sender(), drain.region(), drain.epoch(), List.of());
      if (controller != null) {
        controller.drainWorker(drain.worker(), drain.drain(), nowMs);
      }
    }
  }

  /**
   * Returns the controller of a region if its epoch is the one in the message; otherwise tells the
   * sender about the mismatch and returns null.
   */
  private @Nullable RegionController find(
      dev.bambootray.core.model.NodeId sender, RegionId region, long epoch, List<RequestKey> keys) {
    RegionController controller = controllers.get(region);
    if (controller != null && controller.ownership().epoch() == epoch) {
      return controller;
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
