package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.scheduling.EventTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class DeclarationFollowerTest {
  private final ScriptedStore store = new ScriptedStore();
  private final ManualExecutor executor = new ManualExecutor();
  private final List<Long> versions = new ArrayList<>();
  private final List<Set<String>> closed = new ArrayList<>();
  private final List<Integer> confirmedPauseCounts = new ArrayList<>();
  private final DeclarationFollower declarations =
      new DeclarationFollower(
          store,
          executor,
          new FakeDocuments(),
          DecisionLog.start(),
          new DeclarationFollower.Listener() {
            @Override
            public void onDeclaration(JobDeclaration declaration) {
              versions.add(declaration.version());
              closed.add(declaration.closedDomains());
            }

            @Override
            public void onConfirmed(long asOfMs, int pauseCount) {
              confirmedPauseCounts.add(pauseCount);
            }
          });

  private void publish(long version) {
    store.put("declarations", "current", Long.toString(version).getBytes(UTF_8));
    executor.runAll();
  }

  @Test
  void appliesEachVersionAsItIsPublished() {
    publish(3);
    declarations.start();
    executor.runAll();
    publish(5);
    assertEquals(List.of(3L, 5L), versions);
  }

  @Test
  void ignoresOlderVersions() {
    declarations.start();
    executor.runAll();
    publish(5);
    publish(4);
    publish(6);
    assertEquals(List.of(5L, 6L), versions);
  }

  @Test
  void ignoresOtherRowsAndUnreadableOnes() {
    declarations.start();
    executor.runAll();
    store.put("declarations", "other", "9".getBytes(UTF_8));
    store.put("declarations", "current", new byte[0]);
    executor.runAll();
    publish(7);
    assertEquals(List.of(7L), versions);
  }

  @Test
  void continuesAfterARowThatFailsToDecode() {
    declarations.start();
    executor.runAll();
    store.put("declarations", "current", "no number".getBytes(UTF_8));
    executor.runAll();
    publish(7);
    assertEquals(List.of(7L), versions);
  }

  @Test
  void hasNoDeclarationAfterAPauseUntilTheTableIsReadAgain() {
    declarations.start();
    executor.runAll();
    publish(5);
    EventTime before = JobNode.now();
    assertTrue(declarations.inForce(before).isPresent());
    // VM suspended for 3 s: only the wall clock has jumped, and the change feed has not answered
    // yet.
    EventTime after = new EventTime(before.ms() + 50, before.wallMs() + 3_000);
    assertTrue(declarations.inForce(after).isEmpty());
    executor.runAll();
    EventTime later = new EventTime(after.ms() + 50, after.wallMs() + 50);
    assertTrue(declarations.inForce(later).isPresent());
  }

  @Test
  void keepsTheDeclarationAfterAPauseIfTheNewestRowIsUnreadable() {
    declarations.start();
    executor.runAll();
    publish(5);
    store.put("declarations", "current", "no number".getBytes(UTF_8));
    executor.runAll();
    EventTime before = JobNode.now();
    EventTime after = new EventTime(before.ms() + 3_000, before.wallMs() + 3_000);
    assertTrue(declarations.inForce(after).isEmpty());
    executor.runAll();
    assertTrue(declarations.inForce(after).isPresent());
  }

  @Test
  void hasNoDeclarationAfterAPauseWhileTheStoreIsUnavailable() {
    declarations.start();
    executor.runAll();
    publish(5);
    EventTime before = JobNode.now();
    store.unavailable = true;
    EventTime after = new EventTime(before.ms() + 3_000, before.wallMs() + 3_000);
    assertTrue(declarations.inForce(after).isEmpty());
    executor.runAll();
    assertTrue(declarations.inForce(after).isEmpty());
    store.unavailable = false;
    executor.runLater();
    assertTrue(declarations.inForce(after).isPresent());
  }

  /** Failure domains that an operator closes and opens. */
  @Nested
  final class ClosedDomains {
    private void close(String domain) {
      store.put("declarations", FakeDocuments.CLOSED + domain, "{}".getBytes(UTF_8));
      executor.runAll();
    }

    private void open(String domain) {
      store.remove("declarations", FakeDocuments.CLOSED + domain);
      executor.runAll();
    }

    private Set<String> newest() {
      return closed.get(closed.size() - 1);
    }

    @Test
    void closesAndOpensDomains() {
      declarations.start();
      executor.runAll();
      publish(5);
      close("a");
      close("b");
      assertEquals(Set.of("a", "b"), newest());
      open("a");
      assertEquals(Set.of("b"), newest());
      assertEquals(List.of(5L, 5L, 5L, 5L), versions);
    }

    @Test
    void keepsDomainsClosedInALaterVersion() {
      declarations.start();
      executor.runAll();
      publish(5);
      close("a");
      publish(6);
      assertEquals(Set.of("a"), newest());
    }

    @Test
    void appliesAClosureThatIsOlderThanTheProcess() {
      close("a");
      publish(5);
      declarations.start();
      executor.runAll();
      assertEquals(List.of(Set.of("a")), closed);
    }

    @Test
    void appliesAClosureBeforeTheFirstDeclaration() {
      declarations.start();
      executor.runAll();
      close("a");
      publish(5);
      assertEquals(Set.of("a"), newest());
    }

    @Test
    void appliesAClosureWhenTheDeclarationCannotBeRead() {
      publish(5);
      declarations.start();
      executor.runAll();
      store.put("declarations", "current", "no number".getBytes(UTF_8));
      close("a");
      assertEquals(Set.of("a"), newest());
    }

    @Test
    void findsChangesThatWereMadeWhileTheHistoryWasLost() {
      declarations.start();
      executor.runAll();
      publish(5);
      close("a");
      store.feedSilent = true;
      close("b");
      open("a");
      store.feedSilent = false;
      store.historyLost = true;
      publish(6);
      store.historyLost = false;
      assertEquals(Set.of("b"), newest());
    }

    @Test
    void confirmsNothingFromBeforeAPauseUntilTheTableIsReadAgain() {
      declarations.start();
      executor.runAll();
      publish(5);
      int confirmations = confirmedPauseCounts.size();
      EventTime before = JobNode.now();
      EventTime after = new EventTime(before.ms() + 50, before.wallMs() + 3_000);
      assertTrue(declarations.isPossiblyStale(after));
      store.feedSilent = true;
      close("a");
      EventTime later = new EventTime(after.ms() + 50, after.wallMs() + 50);
      assertFalse(declarations.isPossiblyStale(later));
      assertEquals(Set.of("a"), newest());
      assertEquals(
          List.of(1),
          confirmedPauseCounts.subList(confirmations, confirmedPauseCounts.size()).stream()
              .distinct()
              .toList());
    }

    @Test
    void confirmsNothingWhileTheStoreIsUnavailable() {
      store.unavailable = true;
      declarations.start();
      executor.runAll();
      executor.runLater();
      assertEquals(List.of(), confirmedPauseCounts);
    }
  }

  @Test
  void reportsWhetherTheStoreIsReachable() {
    store.unavailable = true;
    declarations.start();
    executor.runAll();
    assertFalse(declarations.isReachable());
    store.unavailable = false;
    executor.runLater();
    assertTrue(declarations.isReachable());
  }
}
