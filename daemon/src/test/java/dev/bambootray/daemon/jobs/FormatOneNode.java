package dev.bambootray.daemon.jobs;

import static java.nio.charset.StandardCharsets.UTF_8;

import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.store.CommitOutcome;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.store.RowChange;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.ports.RowPartitions;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Makes the calls of the store that a node of commit 7193ad2 makes. */
final class FormatOneNode {
  private static final class Partitions implements RowPartitions {
    @Override
    public String partitionOf(String table, String key) {
      return "pool";
    }

    @Override
    public List<String> partitionsOf(String table, String from, String to) {
      return List.of("pool");
    }
  }

  private final PartitionedStore store;
  private final JobRowCodec codec = new JobRowCodec();

  FormatOneNode(PartitionedStore.Content content) {
    store = new PartitionedStore(content, new Partitions());
  }

  /** Writes the node's own row, as it was written before rows carried the number of a format. */
  void renew(String name) {
    Peer self = new Peer(name, "10.0.0.9:7011", "a", "r");
    String row =
        String.format(
            "{\"name\":\"%s\",\"address\":\"%s\",\"failureDomain\":\"a\",\"region\":\"r\"}",
            self.name(), self.address());
    write(JobTables.NODES, name, row.getBytes(UTF_8));
  }

  /** Removes a node's row, as every node does once it has been silent for long. */
  void forget(String name) {
    write(JobTables.NODES, name, null);
  }

  void submit(JobSpec job) {
    var unused =
        store
            .commit(
                List.of(new RowCondition(JobTables.JOBS, job.id(), 0)),
                List.of(new RowChange(JobTables.JOBS, job.id(), codec.encode(job))),
                CallTimeouts.COMMIT_MS)
            .join();
  }

  private void write(String table, String key, byte @Nullable [] value) {
    CommitOutcome outcome =
        store
            .commit(List.of(), List.of(new RowChange(table, key, value)), CallTimeouts.COMMIT_MS)
            .join();
    if (!(outcome instanceof CommitOutcome.Committed)) {
      throw new IllegalStateException("not written: " + outcome);
    }
  }

  /** Returns the keys of the rows of jobs that an owner takes over. */
  List<String> jobRows() {
    return keys(JobTables.JOBS);
  }

  List<String> nodes() {
    return keys(JobTables.NODES);
  }

  private List<String> keys(String table) {
    return store.read(table, "", "", 500).join().get().rows().stream().map(Row::key).toList();
  }
}
