package dev.bambootray.core.configuration;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import java.util.List;

/** An action that {@link ConfigurationState} requests; the caller carries it out. */
public sealed interface ConfigurationEffect {

  /**
   * Read the row {@code config/current}.
   *
   * @param askedAtMs time of the request, which the reply repeats; the row read is not older
   */
  record ReadCurrent(long askedAtMs) implements ConfigurationEffect {}

  /**
   * Read a row {@code config/history/<version>}; a failed read needs no reply.
   *
   * @param version the version
   */
  record ReadHistory(long version) implements ConfigurationEffect {}

  /**
   * Write {@code config/current} on condition that its row version is one less than the version of
   * the declaration, and in the same transaction {@code config/history/<version>} on condition that
   * it is absent.
   *
   * @param publishId number that the reply repeats
   * @param writeToken unique name of the write; the same for every repetition
   * @param declaration the content of the history row; the current row takes its {@link
   *     PublishedDeclaration#toCurrentVersion()}
   */
  record CommitDeclaration(long publishId, String writeToken, PublishedDeclaration declaration)
      implements ConfigurationEffect {}

  /**
   * Send a message to a peer.
   *
   * @param peer the peer
   * @param message an offer, a confirmation or a fetch
   */
  record SendToPeer(NodeId peer, PeerMessage message) implements ConfigurationEffect {}

  /**
   * Another declaration is in force on this node.
   *
   * @param declaration the declaration
   * @param text its text
   */
  record DeclarationInForce(Declaration declaration, String text) implements ConfigurationEffect {}

  /**
   * Announce this version to peers in probes; before the first of these effects, 0 is announced.
   *
   * @param version the version
   */
  record HeldVersionChanged(long version) implements ConfigurationEffect {}

  /**
   * This node's declaration was recently confirmed as the newest accepted one, or the last
   * confirmation has become too old; without it, the node refuses new work.
   *
   * @param current whether the confirmation is recent enough
   */
  record FreshnessChanged(boolean current) implements ConfigurationEffect {}

  /**
   * Start to ask a majority of members in rotation for their versions, because the table does not
   * answer, or stop to ask them.
   *
   * @param wanted true to start, false to stop
   */
  record ExchangesWanted(boolean wanted) implements ConfigurationEffect {}

  /**
   * A declaration in the table cannot be read by this node.
   *
   * @param version its version
   * @param problems one line for each error
   */
  record DeclarationUnreadable(long version, List<String> problems) implements ConfigurationEffect {
    /** Copies the list. */
    public DeclarationUnreadable {
      problems = List.copyOf(problems);
    }
  }

  /**
   * A request to publish has ended.
   *
   * @param publishId number of the request
   * @param outcome the outcome
   */
  record PublishFinished(long publishId, PublishOutcome outcome) implements ConfigurationEffect {}
}
