package dev.bambootray.daemon.jobs;

import dev.bambootray.ports.RowPartitions;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Spreads the accepted jobs over several partitions and keeps them apart from the rows of the pool.
 *
 * <p>This suits a store that is slow while callers keep submitting: the transactions of a partition
 * are applied one after another, so in a single partition a few submissions a second would fill its
 * queue, and the owner of the pool could not renew its lease among them. The rows of one job are in
 * one partition, and the owner row is in one with the records that it protects.
 */
public final class JobPartitions implements RowPartitions {
  /** A takeover reads them all at once, within the connections that a node keeps to the store. */
  private static final int JOB_PARTITIONS = 16;

  private static final String POOL = "pool";
  private static final List<String> OF_POOL = List.of(POOL);
  private static final List<String> OF_NODES = List.of("nodes");
  private static final List<String> OF_JOBS =
      IntStream.range(0, JOB_PARTITIONS).mapToObj(number -> "jobs-" + number).toList();

  /** Creates the assignment. */
  public JobPartitions() {}

  @Override
  public String partitionOf(String table, String key) {
    return partitionsOf(table, key, key).get(0);
  }

  @Override
  public List<String> partitionsOf(String table, String from, String to) {
    return switch (table) {
      case JobTables.JOBS -> ofJobs(JobTables.jobOfKey(from), JobTables.jobOfKey(to));
      case JobTables.NODES -> OF_NODES;
      default -> OF_POOL;
    };
  }

  private static List<String> ofJobs(String first, String last) {
    return first.isEmpty() || !first.equals(last)
        ? OF_JOBS
        : List.of(OF_JOBS.get(Math.floorMod(first.hashCode(), JOB_PARTITIONS)));
  }
}
