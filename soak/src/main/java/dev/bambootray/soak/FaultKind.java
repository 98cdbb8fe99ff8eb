package dev.bambootray.soak;

/** What the soak does to a run. */
enum FaultKind {
  /** A node gets SIGKILL and is started again after the time of the fault. */
  NODE_KILL(Scope.NODE, false),
  /** A node gets SIGTERM and is started again after it has ended. */
  NODE_STOP(Scope.NODE, true),
  /** A node gets SIGSTOP and, after the time of the fault, SIGCONT. */
  NODE_PAUSE(Scope.NODE, false),
  /** A node gets SIGTERM and is started again with the current build. */
  NODE_UPGRADE(Scope.NODE, true),
  /** A node gets SIGTERM and is started again with the previous build. */
  NODE_DOWNGRADE(Scope.NODE, true),
  /** A node gets SIGHUP. */
  NODE_RELOAD(Scope.NODE, true),
  /** All nodes get SIGKILL at once. */
  ALL_KILL(Scope.NODE, false),
  /** The connections of a node to the store are reset, and new ones too. */
  STORE_LINK_RESET(Scope.NODE, false),
  /** Nothing that a node sends reaches the store. */
  STORE_LINK_CUT_THERE(Scope.NODE, false),
  /** Nothing that the store sends reaches a node. */
  STORE_LINK_CUT_BACK(Scope.NODE, false),
  /** All bytes between a node and the store are delayed. */
  STORE_LINK_DELAY(Scope.NODE, false),
  /** The store answers every call with 503. */
  STORE_REFUSES(Scope.NODE, false),
  /** The store answers late. */
  STORE_SLOW(Scope.NODE, false),
  /** The store carries out transactions and does not answer some of them. */
  STORE_LOSES_ANSWERS(Scope.NODE, false),
  /** The store carries out transactions seconds later, without an answer. */
  STORE_LATE(Scope.NODE, false),
  /** The store drops its history. */
  STORE_COMPACTS(Scope.NODE, false),
  /** The store ends, with all connections and waiting calls, and is started again with its rows. */
  STORE_RESTARTS(Scope.NODE, false),
  /** The store closes each connection after an answer. */
  STORE_CLOSES(Scope.NODE, false),
  /** A worker is out of reach in both directions, but goes on. */
  WORKER_CUT(Scope.WORKER, false),
  /** Answers of a worker are lost. */
  WORKER_CUT_BACK(Scope.WORKER, false),
  /** All bytes between nodes and a worker are delayed. */
  WORKER_DELAY(Scope.WORKER, false),
  /** A worker crashes and begins another life. */
  WORKER_CRASH(Scope.WORKER, false),
  /** Several workers crash at once and begin other lives under the identifiers that they had. */
  WORKER_WAVE(Scope.WORKER, false),
  /** All runs that start at a worker fail. */
  WORKER_FAILS(Scope.WORKER, false),
  /** Runs that start at a worker make no progress. */
  WORKER_HANGS(Scope.WORKER, false),
  /** A worker announces that it leaves, leaves and comes back with another identifier. */
  WORKER_LEAVES(Scope.WORKER, false),
  /** Another writer leaves odd entries in the registry beside those of the workers. */
  REGISTRY_ODD(Scope.NODE, false),
  /** The store refuses all calls, the entries of all workers expire and come back after it. */
  REGISTRY_EXPIRES(Scope.NODE, false),
  /** The operator closes the failure domain of a worker and opens it again. */
  DOMAIN_CLOSED(Scope.WORKER, false),
  /** The connections of callers to a node are reset. */
  CALLERS_RESET(Scope.NODE, false),
  /** The operator publishes another version of the configuration. */
  DECLARATION(Scope.NODE, true);

  /** What the target of a fault is a number of. */
  enum Scope {
    /** Nodes; kinds without a target ignore it. */
    NODE,
    /** Workers. */
    WORKER
  }

  private final Scope scope;
  private final boolean planned;

  FaultKind(Scope scope, boolean planned) {
    this.scope = scope;
    this.planned = planned;
  }

  Scope scope() {
    return scope;
  }

  /** Returns whether operators do this on a healthy system; no answer may be lost by it. */
  boolean isPlanned() {
    return planned;
  }
}
