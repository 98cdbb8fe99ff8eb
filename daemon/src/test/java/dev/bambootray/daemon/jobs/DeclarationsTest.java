package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.scheduling.Now;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class DeclarationsTest {
  private final ScriptedStore store = new ScriptedStore();
  private final ManualExecutor executor = new ManualExecutor();
  private final List<Long> versions = new ArrayList<>();
  private final Declarations declarations =
      new Declarations(
          store,
          executor,
          new VersionDocuments(),
          DecisionLog.start(),
          declaration -> versions.add(declaration.version()));

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
    Now before = JobNode.now();
    assertTrue(declarations.inForce(before).isPresent());
    // VM suspended for 3 s: only the wall clock has jumped, and the change feed has not answered
    // yet.
    Now after = new Now(before.ms() + 50, before.wallMs() + 3_000);
    assertTrue(declarations.inForce(after).isEmpty());
    executor.runAll();
    Now later = new Now(after.ms() + 50, after.wallMs() + 50);
    assertTrue(declarations.inForce(later).isPresent());
  }

  @Test
  void keepsTheDeclarationAfterAPauseIfTheNewestRowIsUnreadable() {
    declarations.start();
    executor.runAll();
    publish(5);
    store.put("declarations", "current", "no number".getBytes(UTF_8));
    executor.runAll();
    Now before = JobNode.now();
    Now after = new Now(before.ms() + 3_000, before.wallMs() + 3_000);
    assertTrue(declarations.inForce(after).isEmpty());
    executor.runAll();
    assertTrue(declarations.inForce(after).isPresent());
  }

  @Test
  void hasNoDeclarationAfterAPauseWhileTheStoreIsUnavailable() {
    declarations.start();
    executor.runAll();
    publish(5);
    Now before = JobNode.now();
    store.away = true;
    Now after = new Now(before.ms() + 3_000, before.wallMs() + 3_000);
    assertTrue(declarations.inForce(after).isEmpty());
    executor.runAll();
    assertTrue(declarations.inForce(after).isEmpty());
    store.away = false;
    executor.runLater();
    assertTrue(declarations.inForce(after).isPresent());
  }

  @Test
  void reportsWhetherTheStoreIsReachable() {
    store.away = true;
    declarations.start();
    executor.runAll();
    assertFalse(declarations.isReachable());
    store.away = false;
    executor.runLater();
    assertTrue(declarations.isReachable());
  }
}
