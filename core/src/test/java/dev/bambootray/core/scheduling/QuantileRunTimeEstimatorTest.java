package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Adjacency;
import org.junit.jupiter.api.Test;

/** Guards against estimates that follow a wrong declared run time although real runs are known. */
final class QuantileRunTimeEstimatorTest {
  private final PoolFixture fixture =
      new PoolFixture().template("one", PoolFixture.shape(1, 1, Adjacency.REGION), true);
  private final RunTimeEstimator estimates = new QuantileRunTimeEstimator();

  private Job job(String workspace) {
    return new Job(fixture.job(workspace, "j", "one"), 0);
  }

  @Test
  void startsFromTheDeclaredRunTime() {
    assertEquals(60_000, estimates.typicalMs(job("a")));
  }

  @Test
  void learnsTheMedianOfTheWorkspace() {
    for (int i = 1; i <= 11; i++) {
      estimates.observe(job("a"), i * 100_000L);
    }
    assertEquals(600_000, estimates.typicalMs(job("a")));
    assertEquals(1_000_000, estimates.cautiousMs(job("a")));
  }

  @Test
  void fallsBackToTheTemplateForAWorkspaceWithoutRuns() {
    for (int i = 0; i < 3; i++) {
      estimates.observe(job("a"), 5_000);
    }
    assertEquals(5_000, estimates.typicalMs(job("b")));
  }

  @Test
  void isCappedByTheDeclaredMaximum() {
    for (int i = 0; i < 3; i++) {
      estimates.observe(job("a"), 10 * PoolFixture.DAY_MS);
    }
    assertEquals(PoolFixture.DAY_MS, estimates.cautiousMs(job("a")));
  }
}
