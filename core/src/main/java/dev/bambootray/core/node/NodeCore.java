package dev.bambootray.core.node;

import static dev.bambootray.core.model.RequestError.notRun;

import dev.bambootray.core.configuration.ConfigurationEffect;
import dev.bambootray.core.configuration.ConfigurationEvent;
import dev.bambootray.core.configuration.ConfigurationState;
import dev.bambootray.core.configuration.DeclarationReader;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.ledger.RequestRowMapper;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.membership.MemberStatus;
import dev.bambootray.core.membership.Membership;
import dev.bambootray.core.membership.MembershipEffect;
import dev.bambootray.core.membership.MembershipEvent;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.ownership.OwnershipEvent;
import dev.bambootray.core.ownership.RegionOwnership;
import dev.bambootray.core.routing.RegionLoad;
import dev.bambootray.core.store.OutageAdmission;
import dev.bambootray.core.store.WriteQueue;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * The control logic of one node, without I/O: handles one event at a time and returns the effects
 * to carry out.
 */
public final class NodeCore implements MembershipDriver.Listener, OwnershipDriver.Listener {
  private static final Declaration EMPTY_DECLARATION =
      new Declaration(
          0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), PolicyDeclaration.defaults());
  private static final long RETRY_AFTER_MS = 1_000;
  private static final long LOADS_INTERVAL_MS = 200;

  private final NodeContext context;
  private final MembershipDriver membership;
  private final OwnershipDriver ownership;
  private final ConfigurationDriver configuration;
  private final EntryRequestHandler entryRequests;
  private final OwnedRegions ownedRegions;
  private final ExplainRequestHandler explainRequests;
  private final RequestRegionSelector regionSelector;
  private final DrainState drain = new DrainState();
  private Declaration declaration = EMPTY_DECLARATION;
  private long nextLoadsAtMs;
  private String reportedNotReadyReason = "the node has just started";

  private NodeCore(Builder builder) {
    NodeIdentity identity = Objects.requireNonNull(builder.identity, "identity");
    RowCodec codec = Objects.requireNonNull(builder.codec, "codec");
    UniformRandomProvider random = Objects.requireNonNull(builder.random, "random");
    DeclarationReader reader = Objects.requireNonNull(builder.reader, "declarationReader");
    EventClock clock = new EventClock();
    Outbox outbox = new Outbox();
    WriteTokenGenerator tokens = new WriteTokenGenerator(identity);
    PeerMessageRouter routes = new PeerMessageRouter(identity.node(), outbox, this::findMember);
    context =
        new NodeContext(
            identity,
            clock,
            outbox,
            new StoreCallDispatcher(outbox, clock, WriteQueue.create(tokens.next(), random)),
            routes,
            RequestRowMapper.create(codec),
            codec,
            tokens,
            random,
            () -> declaration);
    MemberState self = identity.toMember();
    membership = new MembershipDriver(context, codec, Membership.create(self, random), this);
    ownership = new OwnershipDriver(context, codec, RegionOwnership.create(self, random), this);
    configuration =
        new ConfigurationDriver(
            context,
            codec,
            ConfigurationState.create(identity.node(), identity.startedAtMs(), reader),
            this::declarationInForce,
            this::updateMembership);
    regionSelector = new RequestRegionSelector(context, membership::loads);
    entryRequests =
        new EntryRequestHandler(
            context,
            new OpenRequestLimit(builder.limits.openRequests()),
            OutageAdmission.create(builder.limits.heldRequests(), builder.limits.heldBytes()),
            regionSelector::choose);
    ownedRegions = new OwnedRegions(context, this::epochRefused);
    explainRequests = new ExplainRequestHandler(context);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Handles an event and returns the effects to carry out, in order.
   *
   * @param event what happened
   * @param nowMs the time in milliseconds since the epoch
   */
  public List<NodeEffect> handle(NodeEvent event, long nowMs) {
    context.clock().advance(nowMs);
    apply(event, context.now());
    for (PeerMessage message = context.routes().pollLoopback();
        message != null;
        message = context.routes().pollLoopback()) {
      receive(message, context.now());
    }
    return context.outbox().drain();
  }

  private void apply(NodeEvent event, long nowMs) {
    if (event instanceof NodeEvent.Tick) {
      tick(nowMs);
    } else if (event instanceof NodeEvent.CallerSubmitted submitted) {
      submit(submitted, nowMs);
    } else if (event instanceof NodeEvent.CallerRead read) {
      entryRequests.read(read.ticket(), read.key(), read.waitMs(), nowMs);
    } else if (event instanceof NodeEvent.CallerCancelled cancelled) {
      entryRequests.cancel(cancelled.ticket(), cancelled.key(), nowMs);
    } else if (event instanceof NodeEvent.CallerRequestedExplanation requested) {
      explainRequests.ask(requested.ticket(), requested.key());
    } else if (event instanceof NodeEvent.PublishRequested requested) {
      configuration.handle(
          new ConfigurationEvent.PublishRequested(
              requested.ticket(), requested.text(), requested.baseVersion(), requested.author()));
    } else if (event instanceof NodeEvent.StatusRequested requested) {
      context.outbox().add(new NodeEffect.ReplyStatus(requested.ticket(), snapshot(nowMs)));
    } else if (event instanceof NodeEvent.DrainRequested) {
      beginDrain();
    } else if (event instanceof NodeEvent.WorkerDrainRequested requested) {
      drainWorker(requested);
    } else if (event instanceof NodeEvent.PeerMessageReceived received) {
      receive(received.message(), nowMs);
    } else {
      context.outbox().complete(event);
    }
  }

  private void submit(NodeEvent.CallerSubmitted submitted, long nowMs) {
    String refusal = notReadyReason(nowMs);
    if (refusal.isEmpty()) {
      entryRequests.submit(submitted, nowMs);
      return;
    }
    context
        .outbox()
        .refuse(
            submitted.ticket(),
            notRun(RequestStep.ADMISSION, context.self(), refusal, RETRY_AFTER_MS));
  }

  private void receive(PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Probe probe) {
      membership.handle(new MembershipEvent.ProbeReceived(probe));
    } else if (message instanceof PeerMessage.ProbeAck ack) {
      membership.handle(new MembershipEvent.ProbeAckReceived(ack));
    } else if (message instanceof PeerMessage.ConfigurationOffer offer) {
      configuration.handle(new ConfigurationEvent.OfferReceived(offer));
    } else if (message instanceof PeerMessage.ConfigurationConfirm confirm) {
      configuration.handle(new ConfigurationEvent.ConfirmReceived(confirm));
    } else if (message instanceof PeerMessage.ConfigurationFetch fetch) {
      configuration.handle(new ConfigurationEvent.FetchReceived(fetch));
    } else if (message instanceof PeerMessage.RequestAnswered answered) {
      entryRequests.answered(answered.answer());
    } else if (message instanceof PeerMessage.ExplainReply reply) {
      explainRequests.replied(reply);
    } else if (message instanceof PeerMessage.OwnerMismatch mismatch) {
      ownerMismatch(mismatch);
    } else {
      ownedRegions.receive(message, nowMs);
    }
  }

  private void tick(long nowMs) {
    context.store().tick();
    membership.handle(new MembershipEvent.Tick());
    configuration.handle(new ConfigurationEvent.Tick());
    ownership.handle(new OwnershipEvent.Tick());
    ownedRegions.tick(nowMs);
    entryRequests.tick(nowMs);
    explainRequests.tick(nowMs);
    reportReadiness(nowMs);
    if (nowMs >= nextLoadsAtMs) {
      nextLoadsAtMs = nowMs + LOADS_INTERVAL_MS;
      membership.handle(new MembershipEvent.LoadsMeasured(ownedRegions.loads(nowMs)));
    }
    boolean handedOver = ownership.owned().isEmpty() && entryRequests.openCount() == 0;
    if (drain.isBegun() && !drain.isEnded() && handedOver) {
      drain.end();
      membership.handle(new MembershipEvent.LeaveCompleted());
      context.outbox().add(new NodeEffect.Drained());
    }
  }

  private void declarationInForce(ConfigurationEffect.DeclarationInForce inForce) {
    declaration = inForce.declaration();
    context.outbox().add(new NodeEffect.UseDeclaration(declaration, inForce.text()));
    ownership.handle(new OwnershipEvent.RegionsDeclared(declaration.regions().keySet()));
    regionSelector.declarationChanged();
    ownedRegions.declarationChanged(context.now());
  }

  private void updateMembership(MembershipEvent event) {
    membership.handle(event);
  }

  @Override
  public void membersChanged() {
    ownership.handle(new OwnershipEvent.MembersChanged(membership.members()));
    context
        .store()
        .nodesChanged(
            (int)
                membership.members().stream()
                    .filter(member -> member.status() != MemberStatus.DEAD)
                    .count());
    configuration.handle(
        new ConfigurationEvent.MembersChanged(
            membership.members().stream().map(MemberState::node).collect(Collectors.toSet())));
  }

  @Override
  public void versionAnnounced(MembershipEffect.VersionAnnounced effect) {
    configuration.handle(new ConfigurationEvent.VersionAnnounced(effect.peer(), effect.version()));
  }

  @Override
  public void versionExchanged(MembershipEffect.VersionExchanged exchanged) {
    configuration.handle(
        new ConfigurationEvent.VersionExchanged(
            exchanged.peer(), exchanged.version(), exchanged.askedAtMs()));
  }

  @Override
  public void loadLearned(RegionLoad load) {
    ownerChanged(new Ownership(load.region(), load.owner(), load.epoch()));
  }

  @Override
  public void workerVmLeaving(WorkerId worker) {
    ownedRegions.vmLeaving(worker, context.now());
  }

  @Override
  public void ownVmLeaving() {
    beginDrain();
  }

  @Override
  public void gained(Ownership gained) {
    ownedRegions.open(gained, context.now());
    ownerChanged(gained);
  }

  @Override
  public void lost(Ownership lost) {
    ownedRegions.close(lost);
  }

  @Override
  public void ownerChanged(Ownership owner) {
    if (context.routes().updateOwner(owner)) {
      entryRequests.ownerChanged(owner.region(), context.now());
    }
  }

  private void ownerMismatch(PeerMessage.OwnerMismatch mismatch) {
    String detail = mismatch.sender() + " is not the owner; its latest known epoch is ";
    context
        .outbox()
        .report(
            "entry:", "owner-mismatch", mismatch.region(), detail + mismatch.currentEpoch() + ".");
  }

  private void epochRefused(RegionId region, long higherEpoch) {
    ownership.handle(new OwnershipEvent.EpochRefused(region, higherEpoch));
  }

  private void drainWorker(NodeEvent.WorkerDrainRequested requested) {
    Optional.ofNullable(declaration.workers().get(requested.worker()))
        .ifPresent(
            worker ->
                context
                    .routes()
                    .toOwner(
                        worker.region(),
                        epoch ->
                            new PeerMessage.DrainWorker(
                                context.identity().node(),
                                worker.region(),
                                epoch,
                                worker.id(),
                                requested.drain())));
  }

  private void beginDrain() {
    if (!drain.begin()) {
      return;
    }
    context.outbox().report("node:", "draining", context.self(), "The node takes no new work.");
    membership.handle(new MembershipEvent.LeaveRequested());
    ownership.handle(new OwnershipEvent.ReleaseRequested());
  }

  private void reportReadiness(long nowMs) {
    String reason = notReadyReason(nowMs);
    if (!reason.equals(reportedNotReadyReason)) {
      reportedNotReadyReason = reason;
      context.outbox().add(new NodeEffect.ReadinessChanged(reason));
    }
  }

  private String notReadyReason(long nowMs) {
    if (drain.isBegun()) {
      return "the node is being stopped";
    }
    if (declaration.version() == 0) {
      return "no declaration is in force yet";
    }
    return configuration.state().isCurrent(nowMs)
        ? ""
        : "the declaration in force could not be confirmed recently";
  }

  private NodeSnapshot snapshot(long nowMs) {
    return new NodeSnapshot(
        notReadyReason(nowMs),
        drain.isBegun(),
        declaration.version(),
        configuration.state().isCurrent(nowMs),
        context.store().isAvailable(),
        ownership.owned(),
        membership.members(),
        membership.loads(),
        entryRequests.openCount());
  }

  private @Nullable MemberState findMember(NodeId node) {
    return membership.find(node);
  }

  /** Builds a {@link NodeCore}. */
  public static final class Builder {
    private @Nullable NodeIdentity identity;
    private @Nullable RowCodec codec;
    private @Nullable DeclarationReader reader;
    private @Nullable UniformRandomProvider random;
    private NodeLimits limits = NodeLimits.defaults();

    private Builder() {}

    /** Sets the identity of the node. */
    public Builder identity(NodeIdentity value) {
      identity = value;
      return this;
    }

    /** Sets the codec of rows. */
    public Builder codec(RowCodec value) {
      codec = value;
      return this;
    }

    /** Sets the reader of declarations. */
    public Builder declarationReader(DeclarationReader value) {
      reader = value;
      return this;
    }

    /** Sets the source of randomness. */
    public Builder random(UniformRandomProvider value) {
      random = value;
      return this;
    }

    /** Sets the limits on the requests that the node holds. */
    public Builder limits(NodeLimits value) {
      limits = value;
      return this;
    }

    /** Builds the core. */
    public NodeCore build() {
      return new NodeCore(this);
    }
  }
}
