package dev.bambootray.core.snapshot;

import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import java.util.List;

/**
 * The distribution of the run times of one template in one workspace.
 *
 * @param template the template
 * @param workspace the workspace
 * @param runs number of runs that it was learned from
 * @param quantiles points of the distribution, ascending in share and run time, at most {@link
 *     #MAX_QUANTILES}
 */
public record LearnedRunTime(
    TemplateId template, WorkspaceId workspace, long runs, List<Quantile> quantiles) {

  /** Maximum number of points of a distribution. */
  public static final int MAX_QUANTILES = 64;

  /** Copies and checks the points. */
  public LearnedRunTime {
    quantiles = List.copyOf(quantiles);
    if (quantiles.size() > MAX_QUANTILES) {
      throw new IllegalArgumentException(
          "expected at most " + MAX_QUANTILES + " quantiles, got " + quantiles.size());
    }
  }

  /**
   * A point of a distribution.
   *
   * @param share share of runs that take at most the run time, above 0 and at most 1
   * @param runMs the run time in milliseconds
   */
  public record Quantile(double share, long runMs) {}
}
