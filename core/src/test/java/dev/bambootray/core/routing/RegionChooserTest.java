package dev.bambootray.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.RegionDeclaration;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that cross regions without need, go back and forth between them or all
 * move at once.
 */
final class RegionChooserTest {
  private static final RegionId HERE = RegionId.of("here");
  private static final RegionId THERE = RegionId.of("there");
  private static final long NOW_MS = 1_000_000;

  private final RegionChooser chooser =
      RegionChooser.builder()
          .local(HERE)
          .declaration(
              new Declaration(
                  1,
                  Map.of(HERE, new RegionDeclaration(HERE, List.of(), Map.of(THERE, 20.0))),
                  Map.of(),
                  Map.of(),
                  Map.of(),
                  Map.of(),
                  PolicyDeclaration.defaults()))
          .random(RandomSource.SPLIT_MIX_64.create(3L))
          .build();

  private static RegionLoad load(RegionId region, long waitMs, long measuredAtMs) {
    return new RegionLoad(region, NodeId.of("n"), 1, 0, 80, 0, 0, waitMs, waitMs, measuredAtMs);
  }

  /** Returns how many of 1,000 requests leave the region. */
  private int spilled(long hereMs, long thereMs) {
    return spilled(load(HERE, hereMs, NOW_MS), load(THERE, thereMs, NOW_MS));
  }

  private int spilled(RegionLoad... loads) {
    int count = 0;
    for (int i = 0; i < 1_000; i++) {
      count += chooser.chooseForSlot(0, List.of(loads), NOW_MS).equals(THERE) ? 1 : 0;
    }
    return count;
  }

  @Test
  void staysLocalWhileTheGainIsBelowTheCostOfTheLink() {
    assertEquals(0, spilled(35, 0));
    assertEquals(0, spilled(500, 470));
  }

  @Test
  void startsToSpillAboveCostPlusHysteresisAndStopsAtTheCost() {
    assertEquals(0, spilled(55, 0));
    assertTrue(spilled(90, 0) > 0);
    assertTrue(spilled(55, 0) > 0);
    assertEquals(0, spilled(39, 0));
    assertEquals(0, spilled(55, 0));
  }

  @Test
  void spillsAShareThatGrowsWithTheGain() {
    int small = spilled(90, 0);
    int large = spilled(290, 0);
    assertTrue(small > 60 && small < 140, small + " of 1,000");
    assertTrue(large > 440 && large < 560, large + " of 1,000");
    assertEquals(1_000, spilled(600, 0));
  }

  @Test
  void addsBytesToTheCostOfTheLink() {
    assertEquals(40.0, chooser.linkCostMs(THERE, 0));
    assertEquals(50.0, chooser.linkCostMs(THERE, 100 * 1_024));
  }

  @Test
  void ignoresStaleReportsOfOthersAndSpillsWhenTheLocalReportIsStale() {
    assertEquals(0, spilled(load(HERE, 900, NOW_MS), load(THERE, 0, NOW_MS - 5_000)));
    assertTrue(spilled(load(HERE, 0, NOW_MS - 5_000), load(THERE, 0, NOW_MS)) > 0);
  }

  @Test
  void countsBytesByPairOfRegions() {
    CrossRegionByteCounter bytes = CrossRegionByteCounter.create();
    bytes.add(HERE, THERE, 10);
    bytes.add(HERE, THERE, 5);
    bytes.add(THERE, HERE, 7);
    bytes.add(HERE, HERE, 99);
    assertEquals(15, bytes.between(HERE, THERE));
    assertEquals(7, bytes.between(THERE, HERE));
    assertEquals(22, bytes.total());
  }
}
