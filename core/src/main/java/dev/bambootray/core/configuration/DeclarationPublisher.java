package dev.bambootray.core.configuration;

import dev.bambootray.core.configuration.Publication.Phase;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.message.PeerMessage;
import dev.bambootray.core.model.NodeId;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Publishes declarations of operators: writes them to the table and offers them to the members. */
final class DeclarationPublisher {
  /** How long a publication waits for the table. */
  static final long COMMIT_DEADLINE_MS = 10_000;

  /** How long a publication waits for a majority after the write. */
  static final long CONFIRM_DEADLINE_MS = 5_000;

  /**
   * How long a declaration is offered to members that do not confirm; after that, they find the
   * version by their own reads of the table and by gossip.
   */
  static final long OFFER_FOR_MS = 30_000;

  /**
   * Maximum length of a text that is sent to peers: a frame has at most 1 MiB, and a character may
   * take two bytes. Members read a longer text from the table.
   */
  static final int MAX_OFFER_CHARS = 500_000;

  private static final long REPEAT_MS = 500;

  /** Leaves time for the confirmation, because a repeated offer sends the whole text again. */
  private static final long OFFER_REPEAT_MS = 1_000;

  /**
   * Longer than a slow answer of the table, because a repeated write sends the whole text again.
   */
  private static final long COMMIT_REPEAT_MS = 2_000;

  private final NodeId self;
  private final String tokenPrefix;
  private final DeclarationReader reader;
  private final Map<Long, Publication> publications = new TreeMap<>();

  DeclarationPublisher(NodeId self, long incarnation, DeclarationReader reader) {
    this.self = self;
    this.tokenPrefix = "config:" + self + ":" + incarnation + ":";
    this.reader = reader;
  }

  void publish(
      ConfigurationEvent.PublishRequested request,
      PublishedDeclaration held,
      long nowMs,
      List<ConfigurationEffect> effects) {
    Publication publication =
        new Publication(request.publishId(), request.baseVersion(), request.author(), nowMs);
    if (request.baseVersion() < held.version()) {
      finish(publication, new PublishOutcome.LostRace(held), effects);
    } else {
      commit(publication, request.text(), nowMs, effects);
    }
  }

  void rollForward(
      ConfigurationEvent.RollForwardRequested request,
      long nowMs,
      List<ConfigurationEffect> effects) {
    Publication publication =
        new Publication(request.publishId(), request.baseVersion(), request.author(), nowMs);
    publications.put(publication.publishId, publication);
    readHistory(publication, Phase.READING_OLD, request.oldVersion(), nowMs, effects);
  }

  void historyRead(
      ConfigurationEvent.HistoryRead read, long nowMs, List<ConfigurationEffect> effects) {
    for (Publication publication : List.copyOf(publications.values())) {
      boolean awaited = publication.awaitedVersion == read.version();
      if (awaited && publication.phase == Phase.READING_WINNER) {
        finish(publication, new PublishOutcome.LostRace(read.declaration()), effects);
      } else if (awaited && publication.phase == Phase.READING_OLD) {
        if (read.declaration().version() == 0) {
          String problem = "version " + read.version() + " is not in the history";
          finish(publication, new PublishOutcome.Invalid(List.of(problem)), effects);
        } else {
          commit(publication, read.declaration().text(), nowMs, effects);
        }
      }
    }
  }

  /** Returns the declaration that is now in the table, or {@link PublishedDeclaration#NONE}. */
  PublishedDeclaration committed(ConfigurationEvent.CommitSucceeded success, long nowMs) {
    Publication publication = publications.get(success.publishId());
    if (publication == null || publication.phase != Phase.COMMITTING) {
      return PublishedDeclaration.NONE;
    }
    publication.phase = Phase.OFFERING;
    publication.committedMs = nowMs;
    publication.nextSendMs = nowMs;
    return publication.declaration;
  }

  void conflicted(
      ConfigurationEvent.CommitConflicted conflict, long nowMs, List<ConfigurationEffect> effects) {
    Publication publication = publications.get(conflict.publishId());
    if (publication != null && publication.phase == Phase.COMMITTING) {
      readHistory(publication, Phase.READING_WINNER, conflict.current().version(), nowMs, effects);
    }
  }

  void failed(ConfigurationEvent.CommitFailed failure, long nowMs) {
    Publication publication = publications.get(failure.publishId());
    if (publication != null && publication.phase == Phase.COMMITTING) {
      publication.maybeApplied |= failure.maybeApplied();
      publication.answerAwaited = false;
      publication.nextSendMs = nowMs + REPEAT_MS;
    }
  }

  /** Records that a member has a version in force, which confirms all earlier versions too. */
  void confirmed(NodeId member, long version) {
    for (Publication publication : publications.values()) {
      if (publication.version() <= version) {
        publication.confirm(member);
      }
    }
  }

  void tick(Set<NodeId> members, long nowMs, List<ConfigurationEffect> effects) {
    for (Publication publication : List.copyOf(publications.values())) {
      switch (publication.phase) {
        case COMMITTING -> repeatCommit(publication, nowMs, effects);
        case READING_OLD, READING_WINNER -> repeatRead(publication, nowMs, effects);
        case OFFERING, REPORTED -> offer(publication, members, nowMs, effects);
      }
    }
  }

  private void commit(
      Publication publication, String text, long nowMs, List<ConfigurationEffect> effects) {
    Either<List<String>, Declaration> read = reader.read(text, publication.version());
    if (read.isLeft()) {
      finish(publication, new PublishOutcome.Invalid(read.getLeft()), effects);
      return;
    }
    publication.phase = Phase.COMMITTING;
    publication.declaration =
        new PublishedDeclaration(publication.version(), text, nowMs, publication.author);
    publications.put(publication.publishId, publication);
    sendCommit(publication, nowMs, effects);
  }

  private void sendCommit(Publication publication, long nowMs, List<ConfigurationEffect> effects) {
    publication.nextSendMs = nowMs + COMMIT_REPEAT_MS;
    publication.answerAwaited = true;
    effects.add(
        new ConfigurationEffect.CommitDeclaration(
            publication.publishId, tokenPrefix + publication.publishId, publication.declaration));
  }

  private void repeatCommit(
      Publication publication, long nowMs, List<ConfigurationEffect> effects) {
    if (nowMs - publication.startedMs >= COMMIT_DEADLINE_MS) {
      finish(
          publication,
          new PublishOutcome.Unavailable(publication.maybeApplied || publication.answerAwaited),
          effects);
    } else if (nowMs >= publication.nextSendMs) {
      // A write that got no answer may have taken effect.
      publication.maybeApplied |= publication.answerAwaited;
      sendCommit(publication, nowMs, effects);
    }
  }

  private void readHistory(
      Publication publication,
      Phase phase,
      long version,
      long nowMs,
      List<ConfigurationEffect> effects) {
    publication.phase = phase;
    publication.awaitedVersion = version;
    publication.nextSendMs = nowMs + REPEAT_MS;
    effects.add(new ConfigurationEffect.ReadHistory(version));
  }

  private void repeatRead(Publication publication, long nowMs, List<ConfigurationEffect> effects) {
    if (nowMs - publication.startedMs >= COMMIT_DEADLINE_MS) {
      PublishOutcome outcome =
          publication.phase == Phase.READING_WINNER
              ? new PublishOutcome.LostRace(
                  new PublishedDeclaration(publication.awaitedVersion, "", 0, ""))
              : new PublishOutcome.Unavailable(false);
      finish(publication, outcome, effects);
    } else if (nowMs >= publication.nextSendMs) {
      readHistory(publication, publication.phase, publication.awaitedVersion, nowMs, effects);
    }
  }

  private void offer(
      Publication publication, Set<NodeId> members, long nowMs, List<ConfigurationEffect> effects) {
    List<NodeId> missing = publication.missing(members);
    int confirmations = members.size() - missing.size();
    if (publication.phase == Phase.OFFERING) {
      if (confirmations >= members.size() / 2 + 1) {
        publication.phase = Phase.REPORTED;
        effects.add(outcome(publication, new PublishOutcome.Accepted(publication.version())));
      } else if (nowMs - publication.committedMs >= CONFIRM_DEADLINE_MS) {
        publication.phase = Phase.REPORTED;
        effects.add(
            outcome(publication, new PublishOutcome.Committed(publication.version(), missing)));
      }
    }
    boolean offersEnded = missing.isEmpty() || nowMs - publication.committedMs >= OFFER_FOR_MS;
    if (publication.phase == Phase.REPORTED && offersEnded) {
      publications.remove(publication.publishId);
    } else if (nowMs >= publication.nextSendMs) {
      publication.nextSendMs = nowMs + OFFER_REPEAT_MS;
      missing.stream()
          .filter(member -> !member.equals(self))
          .forEach(member -> effects.add(offerTo(member, publication.declaration)));
    }
  }

  private ConfigurationEffect offerTo(NodeId member, PublishedDeclaration declaration) {
    // A fetch also announces the version of its sender, so the member reads the text from the
    // table.
    // The member's reply contains the version that it holds.
    PeerMessage message =
        isOfferable(declaration)
            ? new PeerMessage.ConfigurationOffer(self, declaration.version(), declaration.text())
            : new PeerMessage.ConfigurationFetch(self, declaration.version());
    return new ConfigurationEffect.SendToPeer(member, message);
  }

  static boolean isOfferable(PublishedDeclaration declaration) {
    return declaration.text().length() <= MAX_OFFER_CHARS;
  }

  private void finish(
      Publication publication, PublishOutcome outcome, List<ConfigurationEffect> effects) {
    publications.remove(publication.publishId);
    effects.add(outcome(publication, outcome));
  }

  private static ConfigurationEffect outcome(Publication publication, PublishOutcome outcome) {
    return new ConfigurationEffect.PublishFinished(publication.publishId, outcome);
  }
}
