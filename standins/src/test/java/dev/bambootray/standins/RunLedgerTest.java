package dev.bambootray.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against faults of the system that the ledger would not count, or count without cause. */
final class RunLedgerTest {
  private final RunLedger ledger = RunLedger.create();

  @Test
  void aSecondRunOfAMemberIsADoubleRun() {
    begin("w/a", "t1", 0, 2, false);
    begin("w/a", "t1", 1, 2, false);
    assertEquals(0, ledger.doubleRuns(key -> true));
    begin("w/a", "t2", 0, 2, false);
    assertEquals(1, ledger.doubleRuns(key -> true));
    assertEquals(0, ledger.doubleRuns(key -> false));
  }

  @Test
  void aRunThatContinuesFromACheckpointIsNoDoubleRun() {
    begin("w/a", "t1", 0, 1, false);
    begin("w/a", "t2", 0, 1, true);
    assertEquals(0, ledger.doubleRuns(key -> true));
  }

  @Test
  void refusedRequestsThatRanAreCountedOnce() {
    begin("w/a", "t1", 0, 1, false);
    begin("w/a", "t2", 0, 1, false);
    begin("w/b", "t3", 0, 1, false);
    assertEquals(1, ledger.refusedButRan(Set.of("w/a", "w/c")));
  }

  @Test
  void aMemberThatEndsAloneMakesAPartialGang() {
    int run = begin("w/a", "t1", 0, 2, false);
    assertEquals(0, ledger.partialGangs(0));
    ledger.end(run, new RunLedger.End(1, "FINISHED", 0));
    assertEquals(1, ledger.partialGangs(1));
  }

  @Test
  void aMemberThatIsReleasedSoonMakesNoPartialGang() {
    int run = begin("w/a", "t1", 0, 2, false);
    ledger.end(run, new RunLedger.End(5_000, "STOPPED", 0));
    assertEquals(0, ledger.partialGangs(60_000));
  }

  @Test
  void aMemberThatRunsForMoreThanFiveSecondsAloneMakesAPartialGang() {
    begin("w/a", "t1", 0, 2, false);
    assertEquals(0, ledger.partialGangs(5_000));
    assertEquals(1, ledger.partialGangs(5_001));
    begin("w/a", "t1", 1, 2, false);
    assertEquals(0, ledger.partialGangs(5_001));
  }

  private int begin(String key, String attempt, int member, int members, boolean resumed) {
    return ledger.begin(
        new RunLedger.Start(key, attempt, member, members, "x", "north", 0, 1, resumed, 0, 2));
  }
}
