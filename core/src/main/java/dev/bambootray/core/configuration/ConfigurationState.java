package dev.bambootray.core.configuration;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Tracks which declaration is in force on this node and whether it was recently confirmed as the
 * newest accepted one.
 *
 * <p>Versions only increase. A node serves new work only while {@link #isCurrent} holds.
 */
public final class ConfigurationState {
  /** Fits twice into {@link VersionTracker#CURRENT_FOR_MS}, for which a read confirms a version. */
  private static final long READ_INTERVAL_MS = 1_800;

  private static final long READ_TIMEOUT_MS = 2_000;

  /**
   * How long a node waits for the publisher's offer once it has received a newer version number.
   */
  private static final long OFFER_GRACE_MS = 300;

  private static final long CATCH_UP_INTERVAL_MS = 500;

  private final NodeId self;
  private final DeclarationReader reader;
  private final DeclarationPublisher publisher;
  private final VersionTracker versions;
  private PublishedDeclaration held = PublishedDeclaration.NONE;
  private @Nullable Declaration inForce;
  private long announcedVersion;
  private boolean reportedCurrent;
  private boolean reportedExchangesWanted;
  private long nextReadMs;
  private long readSentMs = -1;
  private long nextCatchUpMs = Long.MAX_VALUE;
  private long unreadableVersion;

  private ConfigurationState(NodeId self, long incarnation, DeclarationReader reader) {
    this.self = self;
    this.reader = reader;
    this.publisher = new DeclarationPublisher(self, incarnation, reader);
    this.versions = new VersionTracker(self);
  }

  /**
   * Returns a configuration that holds no version.
   *
   * @param self this node
   * @param incarnation number of this process; with the node it makes write tokens unique
   * @param reader checks and reads declarations
   */
  public static ConfigurationState create(NodeId self, long incarnation, DeclarationReader reader) {
    return new ConfigurationState(self, incarnation, reader);
  }

  /** Returns the version in force, 0 for none. */
  public long version() {
    return held.version();
  }

  /**
   * Returns the version that is announced to peers. After a restart it is 0 until this process
   * holds every version that an earlier process on this node confirmed.
   */
  public long announcedVersion() {
    return announcedVersion;
  }

  /** Returns the declaration in force. */
  public Optional<Declaration> declaration() {
    return Optional.ofNullable(inForce);
  }

  /**
   * Returns the text of the declaration in force; author and time are empty if a peer offered it.
   */
  public PublishedDeclaration published() {
    return held;
  }

  /** Returns whether the version in force was recently confirmed as the newest accepted one. */
  public boolean isCurrent(long nowMs) {
    return versions.isCurrent(held.version(), nowMs);
  }

  /** Handles an event and returns the effects to carry out, in order. */
  public List<ConfigurationEffect> handle(ConfigurationEvent event, long nowMs) {
    List<ConfigurationEffect> effects = new ArrayList<>();
    if (event instanceof ConfigurationEvent.Tick) {
      tick(nowMs, effects);
    } else if (event instanceof ConfigurationEvent.CurrentRead read) {
      currentRead(read, nowMs, effects);
    } else if (event instanceof ConfigurationEvent.CurrentReadFailed) {
      readSentMs = -1;
    } else if (event instanceof ConfigurationEvent.HistoryRead read) {
      apply(read.declaration(), effects);
      publisher.historyRead(read, nowMs, effects);
    } else if (event instanceof ConfigurationEvent.MembersChanged changed) {
      versions.setMembers(changed.members());
    } else if (event instanceof ConfigurationEvent.VersionExchanged exchanged) {
      versions.exchanged(exchanged.peer(), exchanged.version(), exchanged.askedAtMs());
    } else if (event instanceof ConfigurationEvent.VersionAnnounced announced) {
      versions.observed(announced.peer(), announced.version());
    } else {
      handleMessageOrPublish(event, nowMs, effects);
    }
    planCatchUp(nowMs);
    reportFreshness(nowMs, effects);
    return effects;
  }

  private void handleMessageOrPublish(
      ConfigurationEvent event, long nowMs, List<ConfigurationEffect> effects) {
    if (event instanceof ConfigurationEvent.OfferReceived received) {
      offered(received.offer(), effects);
    } else if (event instanceof ConfigurationEvent.ConfirmReceived received) {
      versions.observed(received.confirm().sender(), received.confirm().version());
      publisher.confirmed(received.confirm().sender(), received.confirm().version());
      publisher.tick(versions.members(), nowMs, effects);
    } else if (event instanceof ConfigurationEvent.FetchReceived received) {
      versions.observed(received.fetch().sender(), received.fetch().heldVersion());
      fetched(received.fetch(), effects);
    } else if (event instanceof ConfigurationEvent.PublishRequested request) {
      publisher.publish(request, held, nowMs, effects);
    } else if (event instanceof ConfigurationEvent.RollForwardRequested request) {
      publisher.rollForward(request, nowMs, effects);
    } else if (event instanceof ConfigurationEvent.CommitSucceeded success) {
      apply(publisher.committed(success, nowMs), effects);
      publisher.confirmed(self, held.version());
      publisher.tick(versions.members(), nowMs, effects);
    } else if (event instanceof ConfigurationEvent.CommitConflicted conflict) {
      versions.observed(self, conflict.current().version());
      publisher.conflicted(conflict, nowMs, effects);
    } else if (event instanceof ConfigurationEvent.CommitFailed failure) {
      publisher.failed(failure, nowMs);
    }
  }

  private void tick(long nowMs, List<ConfigurationEffect> effects) {
    if (readSentMs >= 0 && nowMs - readSentMs >= READ_TIMEOUT_MS) {
      readSentMs = -1;
    }
    if (readSentMs < 0 && nowMs >= nextReadMs) {
      readSentMs = nowMs;
      nextReadMs = nowMs + READ_INTERVAL_MS;
      effects.add(new ConfigurationEffect.ReadCurrent(nowMs));
    }
    if (nowMs >= nextCatchUpMs) {
      nextCatchUpMs = nowMs + CATCH_UP_INTERVAL_MS;
      catchUp(nowMs, effects);
    }
    publisher.tick(versions.members(), nowMs, effects);
  }

  private void currentRead(
      ConfigurationEvent.CurrentRead read, long nowMs, List<ConfigurationEffect> effects) {
    readSentMs = -1;
    versions.tableRead(read.current().version(), read.askedAtMs());
    if (read.current().version() > held.version()
        && read.current().version() != unreadableVersion) {
      effects.add(new ConfigurationEffect.ReadHistory(read.current().version()));
      nextCatchUpMs = nowMs + CATCH_UP_INTERVAL_MS;
    }
  }

  private void offered(PeerMessage.ConfigurationOffer offer, List<ConfigurationEffect> effects) {
    versions.observed(offer.sender(), offer.version());
    apply(new PublishedDeclaration(offer.version(), offer.declarationJson(), 0, ""), effects);
    if (held.version() >= offer.version()) {
      effects.add(
          new ConfigurationEffect.SendToPeer(
              offer.sender(), new PeerMessage.ConfigurationConfirm(self, held.version())));
    }
  }

  private void fetched(PeerMessage.ConfigurationFetch fetch, List<ConfigurationEffect> effects) {
    PeerMessage reply =
        held.version() > fetch.heldVersion() && DeclarationPublisher.isOfferable(held)
            ? new PeerMessage.ConfigurationOffer(self, held.version(), held.text())
            : new PeerMessage.ConfigurationConfirm(self, held.version());
    effects.add(new ConfigurationEffect.SendToPeer(fetch.sender(), reply));
  }

  private void apply(PublishedDeclaration declaration, List<ConfigurationEffect> effects) {
    if (declaration.version() <= held.version() || declaration.version() == unreadableVersion) {
      return;
    }
    Either<List<String>, Declaration> read = reader.read(declaration.text(), declaration.version());
    if (read.isLeft()) {
      unreadableVersion = declaration.version();
      versions.observed(self, declaration.version());
      effects.add(
          new ConfigurationEffect.DeclarationUnreadable(declaration.version(), read.getLeft()));
      return;
    }
    held = declaration;
    inForce = read.get();
    versions.observed(self, held.version());
    publisher.confirmed(self, held.version());
    effects.add(new ConfigurationEffect.DeclarationInForce(read.get(), held.text()));
  }

  private void planCatchUp(long nowMs) {
    boolean behind = versions.highest() > held.version();
    if (!behind) {
      nextCatchUpMs = Long.MAX_VALUE;
    } else if (nextCatchUpMs == Long.MAX_VALUE) {
      nextCatchUpMs = nowMs + OFFER_GRACE_MS;
    }
  }

  private void catchUp(long nowMs, List<ConfigurationEffect> effects) {
    if (versions.highest() == unreadableVersion) {
      return;
    }
    NodeId holder = versions.highestHolder();
    if (holder.equals(self) || versions.isTableRecent(nowMs, READ_TIMEOUT_MS)) {
      effects.add(new ConfigurationEffect.ReadHistory(versions.highest()));
    } else {
      effects.add(
          new ConfigurationEffect.SendToPeer(
              holder, new PeerMessage.ConfigurationFetch(self, held.version())));
    }
  }

  private void reportFreshness(long nowMs, List<ConfigurationEffect> effects) {
    boolean wanted = !versions.isTableRecent(nowMs, READ_INTERVAL_MS + OFFER_GRACE_MS);
    if (wanted != reportedExchangesWanted) {
      reportedExchangesWanted = wanted;
      effects.add(new ConfigurationEffect.ExchangesWanted(wanted));
    }
    if (versions.updateEstablished(held.version(), nowMs) && announcedVersion < held.version()) {
      announcedVersion = held.version();
      effects.add(new ConfigurationEffect.HeldVersionChanged(announcedVersion));
    }
    boolean current = isCurrent(nowMs);
    if (current != reportedCurrent) {
      reportedCurrent = current;
      effects.add(new ConfigurationEffect.FreshnessChanged(current));
    }
  }
}
