package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.reach.Peer;
import dev.bambootray.jobs.store.Row;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Knows in which format this node stores jobs and its own row.
 *
 * <p>Format 1 has all rows in the partition of the pool, format 2 spreads the jobs over partitions.
 * Nodes of this build read both and store format 1 while a node may be alive that reads only that.
 */
public final class StoreFormats {
  private final Set<String> formatOneJobs = ConcurrentHashMap.newKeySet();
  private volatile boolean known;
  private volatile boolean spread;
  private volatile boolean newerFound;
  private volatile boolean newerReader;
  private volatile boolean unreadableRows;

  /** Creates an instance that knows nothing of other nodes yet. */
  public StoreFormats() {}

  /**
   * Records what the rows of all nodes say.
   *
   * @param mayReadFormat1Only whether a node may be alive that reads only format 1
   * @param certain whether a node that starts at the same time would have been seen
   * @param newer whether a node stores a format that this build cannot read
   * @return whether this node now stores another format than before
   */
  boolean update(boolean mayReadFormat1Only, boolean certain, boolean newer) {
    boolean before = spread;
    newerFound = newer;
    spread = !mayReadFormat1Only && (certain || before);
    known = true;
    return spread != before;
  }

  /** Returns whether the format is known and no newer one is in use. */
  boolean isReady() {
    return known && !newerFound;
  }

  boolean isNewerFound() {
    return newerFound;
  }

  /** Sets whether a node is alive that reads a newer format than this build. */
  void setNewerReader(boolean alive) {
    newerReader = alive;
  }

  /** Sets whether there are rows of jobs that this build cannot read. */
  void setUnreadableRows(boolean found) {
    unreadableRows = found;
  }

  /**
   * Returns whether the pool is better owned by a newer build: there is something that this build
   * cannot read, and a node that may read it is alive. Without such a node this one goes on, as a
   * pool without an owner would stop all jobs.
   */
  boolean leavesPoolToNewer() {
    return newerReader && (newerFound || unreadableRows);
  }

  /** Returns the format in which this node stores rows. */
  int writes() {
    return spread ? Peer.FORMAT - 1 : 1;
  }

  /** Returns the table for new jobs. */
  String jobs() {
    return spread ? JobTables.JOBS : JobTables.JOBS_FORMAT_1;
  }

  /** Returns the table that may hold a job that is not in {@link #jobs}. */
  String otherJobs() {
    return spread ? JobTables.JOBS_FORMAT_1 : JobTables.JOBS;
  }

  /** Returns the table for the row of this node. */
  String nodes() {
    return spread ? JobTables.NODES : JobTables.NODES_FORMAT_1;
  }

  /** Forgets which jobs have rows of format 1, before an owner reads them all. */
  void clearJobs() {
    formatOneJobs.clear();
  }

  /** Records a row of a job that the owner has read. */
  void noteJobRow(Row row) {
    // A cancellation mark may be there in both formats without a job.
    if (row.table().equals(JobTables.JOBS_FORMAT_1) && !JobTables.isCancelKey(row.key())) {
      formatOneJobs.add(JobTables.jobOfKey(row.key()));
    }
  }

  /** Returns whether a job may have rows of format 1. */
  boolean mayHaveFormatOneRows(String job) {
    return !spread || formatOneJobs.contains(job);
  }

  void forgetJob(String job) {
    formatOneJobs.remove(job);
  }

  /** Returns how many jobs with rows of format 1 the owner has read and not removed. */
  int formatOneJobs() {
    return formatOneJobs.size();
  }
}
