package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.lead.LeaseEvent;
import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.PeerSelector;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** An owner of this build that meets rows which only a newer build reads. */
final class PoolPreferenceTest {
  private static final Peer SELF = new Peer("n1", "10.0.0.1:7011", "a", "r");
  private static final Optional<LeaseEvent> ASIDE = Optional.of(new LeaseEvent.StepAside());
  private static final Optional<LeaseEvent> RETURN = Optional.of(new LeaseEvent.Return());

  private final ScriptedStore store = new ScriptedStore();
  private final ManualExecutor executor = new ManualExecutor();
  private final DecisionLog log = DecisionLog.start();
  private final JobRowCodec codec = new JobRowCodec();
  private final StoreFormats formats = new StoreFormats();
  private final PoolPreference preference = new PoolPreference(formats, "n1", log);
  private final PoolLoader loader =
      new PoolLoader(store, executor, new FakeDocuments(), codec, log, formats);

  private void takeOver() {
    loader.start(event -> {}, Optional::empty);
    executor.runAll();
  }

  private void putNewerRecord() {
    String newer = "{\"job\":\"j\",\"phase\":\"PAUSED\",\"tasks\":[]}";
    store.put(JobTables.RECORDS, "j", newer.getBytes(UTF_8));
  }

  /** Stores the row of a node and has this node read it. */
  private void putNode(int format, int writes) {
    NodeRow row = new NodeRow("n2", "10.0.0.2:7011", "a", "r", format, writes);
    store.put(JobTables.NODES, "n2", codec.encode(row));
    readNodes();
  }

  private void readNodes() {
    new NodeDirectory(store, executor, log, SELF, new PeerSelector(SELF), formats).start();
    executor.runAll();
  }

  @Nested
  final class WithANewerNode {
    @Test
    void leavesThePoolIfTheRecordOfAJobCannotBeRead() {
      putNode(9, 2);
      assertEquals(Optional.empty(), preference.changed());
      putNewerRecord();
      takeOver();
      assertEquals(ASIDE, preference.changed());
      assertEquals(Optional.empty(), preference.changed());
    }

    @Test
    void leavesThePoolIfAJobCannotBeRead() {
      putNode(9, 2);
      takeOver();
      store.put(JobTables.JOBS, "j", "{\"id\":\"j\"}".getBytes(UTF_8));
      executor.runAll();
      assertEquals(ASIDE, preference.changed());
    }

    @Test
    void leavesThePoolIfThatNodeStoresANewerFormat() {
      putNode(9, 9);
      assertEquals(ASIDE, preference.changed());
    }

    @Test
    void returnsWhenNothingNewerIsLeft() {
      putNode(9, 2);
      putNewerRecord();
      takeOver();
      assertEquals(ASIDE, preference.changed());
      executor.runLater();
      assertEquals(Optional.empty(), preference.changed());
      store.remove(JobTables.RECORDS, "j");
      executor.runLater();
      assertEquals(RETURN, preference.changed());
    }

    @Test
    void returnsWhenThatNodeIsGone() {
      putNode(9, 2);
      putNewerRecord();
      takeOver();
      assertEquals(ASIDE, preference.changed());
      store.remove(JobTables.NODES, "n2");
      readNodes();
      assertEquals(RETURN, preference.changed());
    }
  }

  /** A pool without an owner would stop all jobs for the sake of one. */
  @Nested
  final class WithoutANewerNode {
    @Test
    void keepsThePoolAndLeavesTheJobOut() {
      putNode(Peer.FORMAT, 2);
      putNewerRecord();
      takeOver();
      assertEquals(Optional.empty(), preference.changed());
      assertFalse(formats.leavesPoolToNewer());
      assertTrue(formats.isReady());
    }
  }
}
