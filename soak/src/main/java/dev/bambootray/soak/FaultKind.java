package dev.bambootray.platform.soak;

/** What the soak does to a run. */
enum FaultKind {
  /** A node gets SIGKILL and is started again after the time of the fault. */
  NODE_KILL,
  /** A node gets SIGTERM and is started again after it has ended. */
  NODE_STOP,
  /** A node gets SIGSTOP and, after the time of the fault, SIGCONT. */
  NODE_PAUSE,
  /** A node gets SIGHUP. */
  NODE_RELOAD,
  /** All nodes get SIGKILL at once. */
  ALL_KILL,
  /** The connections of a node to the store are reset, and new ones too. */
  STORE_LINK_RESET,
  /** Nothing that a node sends reaches the store. */
  STORE_LINK_CUT_THERE,
  /** Nothing that the store sends reaches a node. */
  STORE_LINK_CUT_BACK,
  /** All bytes between a node and the store are delayed. */
  STORE_LINK_DELAY,
  /** The store answers every call with 503. */
  STORE_REFUSES,
  /** The store answers late. */
  STORE_SLOW,
  /** The store carries out transactions and does not answer some of them. */
  STORE_LOSES_ANSWERS,
  /** The store carries out transactions seconds later, without an answer. */
  STORE_LATE,
  /** The store drops its history. */
  STORE_COMPACTS,
  /** A worker is out of reach in both directions, but goes on. */
  WORKER_CUT,
  /** Answers of a worker are lost. */
  WORKER_CUT_BACK,
  /** All bytes between nodes and a worker are delayed. */
  WORKER_DELAY,
  /** A worker crashes and begins another life. */
  WORKER_CRASH,
  /** All runs that start at a worker fail. */
  WORKER_FAILS,
  /** Runs that start at a worker make no progress. */
  WORKER_HANGS,
  /** A worker announces that it leaves, leaves and comes back with another identifier. */
  WORKER_LEAVES,
  /** The connections of callers to a node are reset. */
  CALLERS_RESET,
  /** The operator publishes another version of the configuration. */
  DECLARATION
}
