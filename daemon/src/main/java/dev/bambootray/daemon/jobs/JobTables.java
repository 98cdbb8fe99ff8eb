package dev.bambootray.daemon.jobs;

/** Names of the tables and keys in which jobs are kept. */
final class JobTables {
  /** Accepted jobs under their identifier, and marks of cancelled ones. */
  static final String JOBS = "jobs";

  /** What the owner keeps of each job, under its identifier. */
  static final String RECORDS = "records";

  /** Where nodes can be asked by other nodes, under their names. */
  static final String NODES = "nodes";

  /** The row that names the owner. */
  static final String OWNER = "owner";

  /** Key of that row. */
  static final String OWNER_KEY = "pool";

  private static final String CANCEL_SUFFIX = "!cancel";

  private JobTables() {}

  /** Returns the key of the mark that a job is cancelled. */
  static String cancelKey(String job) {
    return job + CANCEL_SUFFIX;
  }

  static boolean isCancelKey(String key) {
    return key.endsWith(CANCEL_SUFFIX);
  }

  static String jobOfCancelKey(String key) {
    return key.substring(0, key.length() - CANCEL_SUFFIX.length());
  }

  /** Returns the key that ends the range of all rows of a job in {@link #JOBS}. */
  static String afterAllOf(String job) {
    return after(cancelKey(job));
  }

  /** Returns the key that ends a range of one key. */
  static String after(String key) {
    return key + "\u0001";
  }
}
