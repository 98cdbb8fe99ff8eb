package dev.bambootray.core.configuration;

import dev.bambootray.core.model.NodeId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One request of an operator to publish a declaration, until all members confirmed it. */
final class Publication {
  final long publishId;
  final long baseVersion;
  final String author;
  final long startedMs;
  private final Set<NodeId> confirmed = new HashSet<>();
  PublishedDeclaration declaration = PublishedDeclaration.NONE;
  Phase phase = Phase.COMMITTING;

  /** Version whose content is awaited from the history. */
  long awaitedVersion;

  long committedMs;
  long nextSendMs;
  boolean maybeApplied;
  boolean answerAwaited;

  Publication(long publishId, long baseVersion, String author, long nowMs) {
    this.publishId = publishId;
    this.baseVersion = baseVersion;
    this.author = author;
    this.startedMs = nowMs;
  }

  long version() {
    return baseVersion + 1;
  }

  void confirm(NodeId member) {
    confirmed.add(member);
  }

  List<NodeId> missing(Set<NodeId> members) {
    return members.stream().filter(member -> !confirmed.contains(member)).sorted().toList();
  }

  /** How far a publication is. */
  enum Phase {
    /** The old content is being read to be published again. */
    READING_OLD,
    /** The write is under way. */
    COMMITTING,
    /** Another version won; its content is being read to be shown. */
    READING_WINNER,
    /** Offered to the members; the operator waits for a majority. */
    OFFERING,
    /** The operator has the outcome; the remaining members are still told. */
    REPORTED
  }
}
