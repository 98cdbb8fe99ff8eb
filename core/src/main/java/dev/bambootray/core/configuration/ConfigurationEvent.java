package dev.bambootray.core.configuration;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import java.util.Set;

/** An input of {@link ConfigurationState}. */
public sealed interface ConfigurationEvent {

  /** Time has passed; expected at least every 100 ms. */
  record Tick() implements ConfigurationEvent {}

  /**
   * The row {@code config/current} was read.
   *
   * @param current its content, {@link CurrentVersion#NONE} if it is absent
   * @param askedAtMs the time in {@link ConfigurationEffect.ReadCurrent}
   */
  record CurrentRead(CurrentVersion current, long askedAtMs) implements ConfigurationEvent {}

  /** The row {@code config/current} could not be read. */
  record CurrentReadFailed() implements ConfigurationEvent {}

  /**
   * The set of members changed.
   *
   * @param members all members, this node and dead members included
   */
  record MembersChanged(Set<NodeId> members) implements ConfigurationEvent {
    /** Copies the set. */
    public MembersChanged {
      members = Set.copyOf(members);
    }
  }

  /**
   * A peer replied to a probe with the version that it holds.
   *
   * @param peer the peer
   * @param version its version, 0 for none
   * @param askedAtMs when it was asked
   */
  record VersionExchanged(NodeId peer, long version, long askedAtMs)
      implements ConfigurationEvent {}

  /**
   * A peer announced which version it holds, without a time to which that applies.
   *
   * @param peer the peer
   * @param version its version, 0 for none
   */
  record VersionAnnounced(NodeId peer, long version) implements ConfigurationEvent {}

  /**
   * A peer sent a declaration.
   *
   * @param offer the declaration
   */
  record OfferReceived(PeerMessage.ConfigurationOffer offer) implements ConfigurationEvent {}

  /**
   * A peer confirmed that a declaration is in force on it.
   *
   * @param confirm the message with the version
   */
  record ConfirmReceived(PeerMessage.ConfigurationConfirm confirm) implements ConfigurationEvent {}

  /**
   * A peer asked for the declaration.
   *
   * @param fetch the message
   */
  record FetchReceived(PeerMessage.ConfigurationFetch fetch) implements ConfigurationEvent {}

  /**
   * An operator publishes a declaration.
   *
   * @param publishId number that names this request on this node
   * @param text the text
   * @param baseVersion the version on which the new text is based
   * @param author the operator
   */
  record PublishRequested(long publishId, String text, long baseVersion, String author)
      implements ConfigurationEvent {}

  /**
   * An operator publishes the content of an old version as a new one.
   *
   * @param publishId number that names this request on this node
   * @param oldVersion the version whose content is used
   * @param baseVersion the version that the operator expects to replace
   * @param author the operator
   */
  record RollForwardRequested(long publishId, long oldVersion, long baseVersion, String author)
      implements ConfigurationEvent {}

  /**
   * A row {@code config/history/<version>} was read.
   *
   * @param version the version that was asked for
   * @param declaration its content, {@link PublishedDeclaration#NONE} if it is absent
   */
  record HistoryRead(long version, PublishedDeclaration declaration)
      implements ConfigurationEvent {}

  /**
   * A declaration was written to the table.
   *
   * @param publishId number of the request
   */
  record CommitSucceeded(long publishId) implements ConfigurationEvent {}

  /**
   * A declaration was not written, because another version is current.
   *
   * @param publishId number of the request
   * @param current content of {@code config/current}
   */
  record CommitConflicted(long publishId, CurrentVersion current) implements ConfigurationEvent {}

  /**
   * The table gave no usable answer to a write; the write is repeated with the same token.
   *
   * @param publishId number of the request
   * @param maybeApplied whether the write may have taken effect
   */
  record CommitFailed(long publishId, boolean maybeApplied) implements ConfigurationEvent {}
}
