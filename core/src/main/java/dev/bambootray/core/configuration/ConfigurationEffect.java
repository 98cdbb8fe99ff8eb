package dev.bambootray.core.configuration;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import java.util.List;

/** What the configuration of a node wants done. */
public sealed interface ConfigurationEffect {

  /**
   * Read the row {@code config/current}.
   *
   * @param askedAtMs time that the reply repeats; the answer is not older
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
   *     PublishedDeclaration#pointer()}
   */
  record CommitDeclaration(long publishId, String writeToken, PublishedDeclaration declaration)
      implements ConfigurationEffect {}

  /**
   * Send a message to a peer.
   *
   * @param peer the peer
   * @param message an offer, confirmation or question
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
   * Tell peers in probes that this node holds a version; until the first of these effects, tell 0.
   *
   * @param version the version
   */
  record HeldVersionChanged(long version) implements ConfigurationEffect {}

  /**
   * Whether this node knows recently enough that its declaration is the newest accepted one; while
   * not, it refuses new work.
   *
   * @param current whether it does
   */
  record CurrencyChanged(boolean current) implements ConfigurationEffect {}

  /**
   * Whether versions are to be exchanged with a majority of members because the table does not
   * answer; ask the members in turn.
   *
   * @param wanted whether it is wanted
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
   * A request of an operator is settled.
   *
   * @param publishId number of the request
   * @param outcome the outcome
   */
  record PublishFinished(long publishId, PublishOutcome outcome) implements ConfigurationEffect {}
}
