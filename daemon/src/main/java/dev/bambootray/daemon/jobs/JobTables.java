package dev.bambootray.daemon.jobs;

/** Names of the tables and keys that the job scheduler stores its rows under. */
final class JobTables {
  /** Table of accepted jobs by identifier, and of cancellation marks. */
  static final String JOBS = "jobs";

  /** The rows of {@link #JOBS} that format 1 keeps in the partition of the pool. */
  static final String JOBS_FORMAT_1 = "jobs@1";

  /** Table of the records in which the owner keeps the progress of each job, by identifier. */
  static final String RECORDS = "records";

  /** Table of the addresses of nodes for calls between nodes, by node name. */
  static final String NODES = "nodes";

  /** The rows of {@link #NODES} that format 1 keeps in the partition of the pool. */
  static final String NODES_FORMAT_1 = "nodes@1";

  /** Table of the row that names the owner of the pool. */
  static final String OWNER = "owner";

  /** Key of the owner row. */
  static final String OWNER_KEY = "pool";

  /** Separates a job's identifier from the kind of a mark. */
  private static final char MARK = '!';

  private static final String CANCEL_SUFFIX = MARK + "cancel";

  /** Follows a key directly in the order of keys. */
  private static final char RANGE_END = '\u0001';

  private JobTables() {}

  /** Returns the key of the cancellation mark of a job. */
  static String cancelKey(String job) {
    return job + CANCEL_SUFFIX;
  }

  static boolean isCancelKey(String key) {
    return key.endsWith(CANCEL_SUFFIX);
  }

  static String jobOfCancelKey(String key) {
    return key.substring(0, key.length() - CANCEL_SUFFIX.length());
  }

  /** Returns the job of a key in {@link #JOBS} or of the end of a range of its keys. */
  static String jobOfKey(String key) {
    int end = 0;
    while (end < key.length() && key.charAt(end) != RANGE_END && key.charAt(end) != MARK) {
      end++;
    }
    return key.substring(0, end);
  }

  /** Returns the exclusive end of the key range that holds all rows of a job in {@link #JOBS}. */
  static String endOfJobRows(String job) {
    return keyAfter(cancelKey(job));
  }

  /** Returns the exclusive end of the key range that holds only the given key. */
  static String keyAfter(String key) {
    return key + RANGE_END;
  }
}
