package dev.bambootray.core.configuration;

import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import java.util.Set;

/** What the configuration of a node is told. */
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
   * The members changed.
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
   * A peer answered which version it holds.
   *
   * @param peer the peer
   * @param version its version, 0 for none
   * @param askedAtMs when it was asked
   */
  record VersionExchanged(NodeId peer, long version, long askedAtMs)
      implements ConfigurationEvent {}

  /**
   * A peer told which version it holds, at an unknown time.
   *
   * @param peer the peer
   * @param version its version, 0 for none
   */
  record VersionHeard(NodeId peer, long version) implements ConfigurationEvent {}

  /**
   * A peer handed over a declaration.
   *
   * @param offer the declaration
   */
  record OfferReceived(PeerMessage.ConfigurationOffer offer) implements ConfigurationEvent {}

  /**
   * A peer has a declaration in force.
   *
   * @param confirm its version
   */
  record ConfirmReceived(PeerMessage.ConfigurationConfirm confirm) implements ConfigurationEvent {}

  /**
   * A peer asks for the declaration.
   *
   * @param fetch the question
   */
  record FetchReceived(PeerMessage.ConfigurationFetch fetch) implements ConfigurationEvent {}

  /**
   * An operator publishes a declaration.
   *
   * @param publishId number that names this request on this node
   * @param text the text
   * @param baseVersion the version that the operator changed
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
   * A declaration is in the table.
   *
   * @param publishId number of the request
   */
  record CommitSucceeded(long publishId) implements ConfigurationEvent {}

  /**
   * A declaration was not written, as another version is current.
   *
   * @param publishId number of the request
   * @param current content of {@code config/current}
   */
  record CommitConflicted(long publishId, CurrentVersion current) implements ConfigurationEvent {}

  /**
   * The table gave no usable answer to a write; it is repeated with the same token.
   *
   * @param publishId number of the request
   * @param maybeApplied whether the write may have taken effect
   */
  record CommitFailed(long publishId, boolean maybeApplied) implements ConfigurationEvent {}
}
