package dev.bambootray.core.configuration;

import dev.bambootray.core.model.NodeId;
import java.util.List;

/** The outcome of publishing a declaration. */
public sealed interface PublishOutcome {

  /**
   * The declaration is in the table and confirmed by a majority of members.
   *
   * @param version its version
   */
  record Accepted(long version) implements PublishOutcome {}

  /**
   * The declaration is in the table and remains in force, but too few members confirmed it in time.
   *
   * @param version its version
   * @param missing members that have not confirmed it
   */
  record Committed(long version, List<NodeId> missing) implements PublishOutcome {
    /** Copies the list. */
    public Committed {
      missing = List.copyOf(missing);
    }
  }

  /**
   * Another version than the expected one is current; nothing was written.
   *
   * @param current the current declaration
   */
  record LostRace(PublishedDeclaration current) implements PublishOutcome {}

  /**
   * The declaration is invalid; nothing was written.
   *
   * @param problems one line for each error
   */
  record Invalid(List<String> problems) implements PublishOutcome {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * The table gave no usable answer.
   *
   * @param maybePublished whether the declaration may be in the table, now or later
   */
  record Unavailable(boolean maybePublished) implements PublishOutcome {}
}
