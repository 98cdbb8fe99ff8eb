package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.PeerSelector;
import java.util.List;
import org.junit.jupiter.api.Test;

final class NodeDirectoryTest {
  private static final Peer SELF = new Peer("n1", "10.0.0.1:7011", "a", "r");
  private static final Peer OTHER = new Peer("n2", "10.0.0.2:7011", "a", "r");

  private final ScriptedStore store = new ScriptedStore();
  private final ManualExecutor executor = new ManualExecutor();
  private final PeerSelector order = new PeerSelector(SELF);
  private final NodeDirectory directory =
      new NodeDirectory(store, executor, DecisionLog.start(), SELF, order, new StoreFormats());

  @Test
  void publishesTheAddressOfThisNode() {
    directory.start();
    executor.runAll();
    // A node that reads only format 1 may have started at the same time.
    assertEquals(1, store.countOf(JobTables.NODES_FORMAT_1));
    assertEquals(0, store.countOf(JobTables.NODES));
    executor.runLater();
    assertEquals(1, store.countOf(JobTables.NODES));
    assertTrue(order.candidates(0).isEmpty());
  }

  @Test
  void findsNodesThatStartAtTheSameTime() {
    directory.start();
    executor.runAll();
    store.put(JobTables.NODES, OTHER.name(), new JobRowCodec().encode(NodeRow.of(OTHER, 2)));
    executor.runLater();
    assertEquals(List.of(OTHER), order.candidates(0));
  }

  @Test
  void ignoresInvalidRows() {
    store.put(JobTables.NODES, "bad", "{\"name\":\"bad\"}".getBytes(UTF_8));
    store.put(JobTables.NODES, "worse", "\u0000".getBytes(UTF_8));
    for (String address :
        List.of("nowhere", "999.0.0.1:7011", "10.0.0.3:99999", "10.0.0.3:0", "0.0.0.0:7011")) {
      store.put(
          JobTables.NODES,
          address,
          new JobRowCodec().encode(NodeRow.of(new Peer(address, address, "a", "r"), 2)));
    }
    store.put(JobTables.NODES, "deep", "{\"a\":[[".repeat(10_000).getBytes(UTF_8));
    store.put(JobTables.NODES, "number", "{\"format\":1e400000000}".getBytes(UTF_8));
    store.put(JobTables.NODES, OTHER.name(), new JobRowCodec().encode(NodeRow.of(OTHER, 2)));
    directory.start();
    executor.runAll();
    assertEquals(List.of(OTHER), order.candidates(0));
  }

  @Test
  void keepsTheKnownNodesWhileTheStoreIsUnavailable() {
    store.put(JobTables.NODES, OTHER.name(), new JobRowCodec().encode(NodeRow.of(OTHER, 2)));
    directory.start();
    executor.runAll();
    store.unavailable = true;
    executor.runLater();
    assertEquals(List.of(OTHER), order.candidates(0));
  }
}
