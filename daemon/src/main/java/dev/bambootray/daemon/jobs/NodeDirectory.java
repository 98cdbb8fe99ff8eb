package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.PeerSelector;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Publishes the address of this node in the store and reads the addresses of the others.
 *
 * <p>Each node renews a row of its own. A node whose row has not changed for three intervals is
 * considered gone. The intervals are measured by this node's clock alone, so the nodes' clocks need
 * not agree. A node that is wrongly considered alive costs its callers one attempt.
 */
public final class NodeDirectory implements AutoCloseable {
  /** Interval at which a node renews its row, which only holds the node's address. */
  private static final long RENEW_MS = 10_000;

  private static final long GONE_AFTER_MS = 3 * RENEW_MS;

  /** Rows of nodes that are gone are removed after this time. */
  private static final long REMOVED_AFTER_MS = 2 * GONE_AFTER_MS;

  /** Delay of an early second read, since the nodes of a deployment start at the same time. */
  private static final long SECOND_READ_MS = 1_500;

  private static final int MAX_NODES = 500;

  private record LastChange(long version, long sinceMs) {}

  private final RowStore store;
  private final ScheduledExecutorService executor;
  private final JobRowCodec codec = new JobRowCodec();
  private final DecisionLog log;
  private final Peer self;
  private final PeerSelector order;
  private final Map<String, LastChange> lastChanges = new HashMap<>();
  private int loggedAliveCount = -1;
  private volatile boolean closed;

  /**
   * Creates a directory, which is idle until {@link #start}.
   *
   * @param store the store
   * @param executor the event loop on which it runs
   * @param log the decision log
   * @param self this node
   * @param order receives the nodes that are alive
   */
  public NodeDirectory(
      RowStore store,
      ScheduledExecutorService executor,
      DecisionLog log,
      Peer self,
      PeerSelector order) {
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.self = self;
    this.order = order;
  }

  /** Writes this node's row and reads the other rows, now and periodically. */
  public void start() {
    executor.execute(this::renewAndRead);
    var unused = executor.schedule(this::read, SECOND_READ_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    closed = true;
  }

  private void renewAndRead() {
    if (closed) {
      return;
    }
    var unused =
        store
            .commit(
                List.of(),
                List.of(new RowChange(JobTables.NODES, self.name(), codec.encode(self))),
                CallTimeouts.COMMIT_MS)
            .thenRunAsync(this::read, executor);
    var unusedNext = executor.schedule(this::renewAndRead, RENEW_MS, TimeUnit.MILLISECONDS);
  }

  private void read() {
    if (closed) {
      return;
    }
    var unused =
        store
            .read(JobTables.NODES, "", "", MAX_NODES)
            .thenAcceptAsync(
                result ->
                    result
                        .peek(this::onPage)
                        .peekLeft(
                            error -> log.line("nodes:", self.name(), "unread " + error.message())),
                executor);
  }

  private void onPage(RowReadPage page) {
    long nowMs = JobNode.now().ms();
    List<Peer> alive = new ArrayList<>();
    for (Row row : page.rows()) {
      LastChange last = lastChanges.get(row.key());
      if (last == null || last.version() != row.version()) {
        last = new LastChange(row.version(), nowMs);
        lastChanges.put(row.key(), last);
      }
      long quietMs = nowMs - last.sinceMs();
      if (quietMs <= GONE_AFTER_MS) {
        codec
            .decodePeer(row.value())
            .peek(alive::add)
            .peekLeft(error -> log.line("nodes:", row.key(), "ignored, " + error));
      } else if (quietMs > REMOVED_AFTER_MS) {
        remove(row);
      }
    }
    lastChanges.keySet().retainAll(page.rows().stream().map(Row::key).toList());
    order.update(alive);
    if (alive.size() != loggedAliveCount) {
      loggedAliveCount = alive.size();
      log.line("nodes:", self.name(), "alive=" + loggedAliveCount);
    }
  }

  private void remove(Row row) {
    var unused =
        store.commit(
            List.of(new RowCondition(JobTables.NODES, row.key(), row.version())),
            List.of(new RowChange(JobTables.NODES, row.key(), null)),
            CallTimeouts.COMMIT_MS);
  }
}
