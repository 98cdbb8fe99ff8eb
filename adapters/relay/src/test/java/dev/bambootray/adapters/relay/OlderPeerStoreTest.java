package dev.bambootray.adapters.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.store.ChangePage;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.OlderTables;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Calls through a node of format 1, which knows the rows of "new" only as "old". */
final class OlderPeerStoreTest {
  private static final class Tables implements OlderTables {
    @Override
    public Optional<String> tableAt(int format, String table, boolean range) {
      return table.equals("new") && !range ? Optional.of("old") : Optional.empty();
    }

    @Override
    public String tableOfChange(String storedTable) {
      return "assumed";
    }
  }

  private final FakeStore peer = new FakeStore();
  private final OlderPeerStore store = new OlderPeerStore(peer, new Tables(), 1);

  private CompletableFuture<CommitOutcome> write(String table) {
    return store.commit(List.of(), List.of(new RowChange(table, "k", null)), 1_000);
  }

  @Test
  void translatesTheTable() {
    peer.page = Either.right(page("old"));
    assertFalse(write("new").isDone());
    assertEquals("old", peer.changes.get(0).table());
    RowReadPage read = store.read("new", "k", "k\u0001", 1).join().get();
    assertEquals("new", read.rows().get(0).table());
  }

  @Test
  void refusesWhatTheNodeWouldMisplace() {
    assertInstanceOf(CommitOutcome.Refused.class, write("other").join());
    assertTrue(store.read("new", "", "", 1).join().isLeft());
    assertTrue(store.read("other", "k", "k\u0001", 1).join().isLeft());
    assertTrue(peer.commits.isEmpty());
    assertEquals(0, peer.reads);
  }

  @Test
  void assumesATableForChanges() {
    CompletableFuture<ChangePage> changes = store.changes("new", 1, 10);
    peer.waits.get(0).complete(new ChangePage.Changes(page("old").rows(), 3));
    ChangePage.Changes page = (ChangePage.Changes) changes.join();
    assertEquals("assumed", page.rows().get(0).table());
  }

  private static RowReadPage page(String table) {
    return new RowReadPage(List.of(new Row(table, "k", new byte[0], 1, false)), false, 1);
  }
}
