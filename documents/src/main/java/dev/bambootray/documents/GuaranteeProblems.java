package dev.bambootray.documents;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.scheduling.GuaranteeCheck;
import java.util.List;
import java.util.stream.Stream;

/** Finds guarantees that cannot all be placed on the declared workers. */
public final class GuaranteeProblems {
  private GuaranteeProblems() {}

  /** Returns one line for each guarantee that has no place; empty if all can be placed. */
  public static List<String> of(Declaration declaration) {
    return declaration.regions().keySet().stream()
        .sorted()
        .flatMap(region -> of(declaration, region))
        .toList();
  }

  private static Stream<String> of(Declaration declaration, RegionId region) {
    return GuaranteeCheck.missing(declaration, region).stream()
        .map(
            missing ->
                "workspaces."
                    + missing.workspace()
                    + ": a guarantee in region "
                    + region
                    + " cannot be honoured: "
                    + missing.missing());
  }
}
