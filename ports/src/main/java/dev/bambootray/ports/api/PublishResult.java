package dev.bambootray.ports.api;

import java.util.List;

/** The outcome of publishing a declaration. */
public sealed interface PublishResult {

  /**
   * The declaration is committed and confirmed by a majority of nodes.
   *
   * @param version its version
   */
  record Accepted(long version) implements PublishResult {}

  /**
   * The declaration is committed, but too few nodes have confirmed it yet; it will not be undone.
   *
   * @param version its version
   * @param missing nodes that have not confirmed it
   */
  record Committed(long version, List<String> missing) implements PublishResult {}

  /**
   * Another version was published since the one that was read; nothing was written.
   *
   * @param current the current version
   */
  record LostRace(DeclarationText current) implements PublishResult {}

  /**
   * The declaration is invalid; nothing was written.
   *
   * @param problems one line for each error, with line, column and what was expected
   */
  record Invalid(List<String> problems) implements PublishResult {}
}
