package dev.bambootray.core.configuration;

import dev.bambootray.core.model.NodeId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The state of one operator's request to publish a declaration, until all members confirmed it. */
final class Publication {
  final long publishId;
  final long baseVersion;
  final String author;
  final long startedMs;
  private final Set<NodeId> confirmed = new HashSet<>();
  PublishedDeclaration declaration = PublishedDeclaration.NONE;
  Phase phase = Phase.COMMITTING;

  /** Version whose content is being read from the history. */
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

  /** A phase of a publication. */
  enum Phase {
    /** The content of an old version is being read, to be published again. */
    READING_OLD,
    /** The write is in progress. */
    COMMITTING,
    /** Another version was written first; its content is being read to show it to the operator. */
    READING_WINNER,
    /** The declaration is offered to the members; the operator waits for a majority. */
    OFFERING,
    /** The operator has the outcome; the declaration is still offered to the remaining members. */
    REPORTED
  }
}
