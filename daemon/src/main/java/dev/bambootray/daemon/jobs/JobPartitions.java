package dev.bambootray.daemon.jobs;

import dev.bambootray.ports.OlderTables;
import dev.bambootray.ports.RowPartitions;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Spreads the accepted jobs over several partitions and keeps them apart from the rows of the pool.
 *
 * <p>This suits a store that is slow while callers keep submitting: the transactions of a partition
 * are applied one after another, so in a single partition a few submissions a second would fill its
 * queue, and the owner of the pool could not renew its lease among them. The rows of one job are in
 * one partition, and the owner row is in one with the records that it protects.
 *
 * <p>Format 1 has all rows in the partition of the pool. Its jobs and nodes have table names of
 * their own here; a range of several jobs or of the nodes covers both formats.
 */
public final class JobPartitions implements RowPartitions, OlderTables {
  /** A takeover reads them all at once, within the connections that a node keeps to the store. */
  private static final int JOB_PARTITIONS = 16;

  private static final String POOL = "pool";
  private static final List<String> OF_POOL = List.of(POOL);
  private static final List<String> OF_NODES = List.of("nodes");
  private static final List<String> OF_ALL_NODES = List.of("nodes", POOL);
  private static final List<String> OF_JOBS =
      IntStream.range(0, JOB_PARTITIONS).mapToObj(number -> "jobs-" + number).toList();
  private static final List<String> OF_ALL_JOBS =
      Stream.concat(OF_JOBS.stream(), Stream.of(POOL)).toList();

  /** Creates the assignment. */
  public JobPartitions() {}

  @Override
  public String partitionOf(String table, String key) {
    return partitionsOf(table, key, key).get(0);
  }

  @Override
  public List<String> partitionsOf(String table, String from, String to) {
    return switch (table) {
      case JobTables.JOBS ->
          isOfSeveral(from, to) ? OF_ALL_JOBS : List.of(ofJob(JobTables.jobOfKey(from)));
      case JobTables.NODES -> isOfSeveral(from, to) ? OF_ALL_NODES : OF_NODES;
      default -> OF_POOL;
    };
  }

  @Override
  public String storedTable(String table) {
    return switch (table) {
      case JobTables.JOBS_FORMAT_1 -> JobTables.JOBS;
      case JobTables.NODES_FORMAT_1 -> JobTables.NODES;
      default -> table;
    };
  }

  @Override
  public String tableOf(String storedTable, String partition) {
    if (!partition.equals(POOL)) {
      return storedTable;
    }
    return switch (storedTable) {
      case JobTables.JOBS -> JobTables.JOBS_FORMAT_1;
      case JobTables.NODES -> JobTables.NODES_FORMAT_1;
      default -> storedTable;
    };
  }

  @Override
  public Optional<String> tableAt(int format, String table, boolean range) {
    boolean known =
        switch (table) {
          case JobTables.JOBS_FORMAT_1, JobTables.NODES_FORMAT_1 -> format == 1;
          // A node of format 2 reads such a range without the rows of format 1.
          case JobTables.JOBS, JobTables.NODES -> format == 2 && !range;
          default -> true;
        };
    return known ? Optional.of(storedTable(table)) : Optional.empty();
  }

  /** Assumes format 1, whose rows are removed along with those of format 2. */
  @Override
  public String tableOfChange(String storedTable) {
    return tableOf(storedTable, POOL);
  }

  private static boolean isOfSeveral(String from, String to) {
    String first = JobTables.jobOfKey(from);
    return first.isEmpty() || !first.equals(JobTables.jobOfKey(to));
  }

  private static String ofJob(String job) {
    return OF_JOBS.get(Math.floorMod(job.hashCode(), JOB_PARTITIONS));
  }
}
