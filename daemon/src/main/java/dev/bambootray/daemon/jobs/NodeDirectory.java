package dev.bambootray.daemon.jobs;

import static java.util.Comparator.comparingLong;

import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.reach.PeerSelector;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.jobs.store.RowReadPage;
import dev.bambootray.ports.RowStore;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
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
  private final StoreFormats formats;
  private final Map<String, LastChange> lastChanges = new HashMap<>();
  private int loggedAliveCount = -1;
  private int loggedWrites;
  private boolean loggedNewer;

  /** Whether rows of nodes that started with this one would have been read. */
  private boolean settled;

  private volatile boolean closed;

  /**
   * Creates a directory, which is idle until {@link #start}.
   *
   * @param store the store
   * @param executor the event loop on which it runs
   * @param log the decision log
   * @param self this node
   * @param order receives the nodes that are alive
   * @param formats receives the format that all nodes read
   */
  public NodeDirectory(
      RowStore store,
      ScheduledExecutorService executor,
      DecisionLog log,
      Peer self,
      PeerSelector order,
      StoreFormats formats) {
    this.store = store;
    this.executor = executor;
    this.log = log;
    this.self = self;
    this.order = order;
    this.formats = formats;
  }

  /** Reads the rows of all nodes and writes this node's row, now and periodically. */
  public void start() {
    executor.execute(this::readFirst);
    var unused = executor.schedule(this::readSettled, SECOND_READ_MS, TimeUnit.MILLISECONDS);
  }

  /** Reads before this node writes, because the rows tell where older nodes look for its row. */
  private void readFirst() {
    var unused =
        read()
            .thenAcceptAsync(
                done -> {
                  if (done) {
                    renewAndRead();
                  } else {
                    var unusedRetry =
                        executor.schedule(
                            this::readFirst, TableFollower.RETRY_MS, TimeUnit.MILLISECONDS);
                  }
                },
                executor);
  }

  private void readSettled() {
    settled = true;
    var unused = read();
  }

  @Override
  public void close() {
    closed = true;
  }

  private void renewAndRead() {
    if (closed) {
      return;
    }
    var unused = renew().thenComposeAsync(outcome -> read(), executor);
    var unusedNext = executor.schedule(this::renewAndRead, RENEW_MS, TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<CommitOutcome> renew() {
    byte[] row = codec.encode(NodeRow.of(self, formats.writes()));
    return store.commit(
        List.of(),
        List.of(new RowChange(formats.nodes(), self.name(), row)),
        CallTimeouts.COMMIT_MS);
  }

  private CompletableFuture<Boolean> read() {
    if (closed) {
      return new CompletableFuture<>();
    }
    return store
        .read(JobTables.NODES, "", "", MAX_NODES)
        .thenApplyAsync(
            result ->
                result
                    .peek(this::onPage)
                    .peekLeft(error -> log.line("nodes:", self.name(), "unread " + error.message()))
                    .isRight(),
            executor);
  }

  private void onPage(RowReadPage page) {
    long nowMs = JobNode.now().ms();
    updateFormat(page.rows());
    removeOwnOtherRow(page.rows());
    Map<String, Peer> alive = new LinkedHashMap<>();
    List<Row> oldestFirst = page.rows().stream().sorted(comparingLong(Row::version)).toList();
    for (Row row : oldestFirst) {
      LastChange last = lastChanges.get(place(row));
      if (last == null || last.version() != row.version()) {
        last = new LastChange(row.version(), nowMs);
        lastChanges.put(place(row), last);
      }
      long quietMs = nowMs - last.sinceMs();
      if (quietMs <= GONE_AFTER_MS) {
        codec
            .decodeNode(row.value())
            .peek(node -> alive.put(node.name(), node.peer(row.table())))
            .peekLeft(error -> log.line("nodes:", row.key(), "ignored, " + error));
      } else if (quietMs > REMOVED_AFTER_MS && !isOfNewerFormat(row)) {
        remove(row);
      }
    }
    lastChanges.keySet().retainAll(page.rows().stream().map(NodeDirectory::place).toList());
    order.update(List.copyOf(alive.values()));
    formats.setNewerReader(
        alive.values().stream()
            .anyMatch(node -> node.format() > Peer.FORMAT && !node.name().equals(self.name())));
    if (alive.size() != loggedAliveCount) {
      loggedAliveCount = alive.size();
      log.line("nodes:", self.name(), "alive=" + loggedAliveCount);
    }
  }

  /** Returns whether a node has stored rows that this build cannot read; its own row stays. */
  private boolean isOfNewerFormat(Row row) {
    return codec.decodeNode(row.value()).exists(node -> node.writes() > Peer.FORMAT);
  }

  private static String place(Row row) {
    return row.table() + "/" + row.key();
  }

  private void updateFormat(List<Row> rows) {
    boolean newer = false;
    boolean formatOneOnly = false;
    boolean spread = settled;
    for (Row row : rows) {
      NodeRow node = codec.decodeNode(row.value()).getOrNull();
      newer |= isOfNewerFormat(row);
      if (row.key().equals(self.name())) {
        continue; // Of an earlier process on this VM, if not of this one.
      }
      // The row counts until it is removed, as a node that was paused may come back.
      formatOneOnly |=
          row.table().equals(JobTables.NODES_FORMAT_1) && (node == null || node.format() == 0);
      spread |= row.table().equals(JobTables.NODES);
    }
    if (newer != loggedNewer) {
      loggedNewer = newer;
      log.line(
          "format:",
          self.name(),
          newer ? "a node stores a format newer than " + Peer.FORMAT : "all formats are readable");
    }
    boolean changed = formats.update(formatOneOnly, spread, newer);
    if (!changed && loggedWrites == formats.writes()) {
      return;
    }
    boolean announced = loggedWrites != 0;
    loggedWrites = formats.writes();
    log.line("format:", self.name(), "writes=" + loggedWrites);
    if (announced) {
      var unused = renew();
    }
  }

  /** Removes this node's row of the format that it no longer writes, once the other one is read. */
  private void removeOwnOtherRow(List<Row> rows) {
    List<Row> own = rows.stream().filter(row -> row.key().equals(self.name())).toList();
    if (own.size() > 1) {
      own.stream().filter(row -> !row.table().equals(formats.nodes())).forEach(this::remove);
    }
  }

  private void remove(Row row) {
    var unused =
        store.commit(
            List.of(new RowCondition(row.table(), row.key(), row.version())),
            List.of(new RowChange(row.table(), row.key(), null)),
            CallTimeouts.COMMIT_MS);
  }
}
