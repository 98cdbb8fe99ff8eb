package dev.bambootray.bench.jobs;

/** What a load does beside its usual arrivals; each is one way in which load is at its worst. */
enum LoadPattern {
  /** The usual arrivals. */
  USUAL("usual"),
  /** All arrivals at 1.5 times their rate. */
  OVERLOAD("overload"),
  /** Four times as many small tasks of the last priority for 4 s. */
  BURST_OF_CHECKS("burst of checks"),
  /** Four times as many wide gangs for 4 s. */
  BURST_OF_PLANS("burst of plans"),
  /** Four times as many urgent jobs for 4 s. */
  BURST_OF_ORDERS("burst of orders"),
  /** Twice as many urgent jobs for 6 s, and among them the burst of small tasks. */
  BURSTS_TOGETHER("bursts together"),
  /** A quarter of the jobs fail whatever is done, for 6 s. */
  POISON("poison"),
  /** Half of the jobs are cancelled 2 s after their arrival. */
  CANCELLING("cancelling"),
  /** A sixth of the workers runs at a fifth of its speed. */
  SLOW_WORKERS("slow workers"),
  /** A third of the workers takes 1.3 times as long as the others, always. */
  UNEVEN_WORKERS("uneven workers"),
  /** A twelfth of the workers fails all runs that start between 10 and 17 s. */
  FAILING_WORKERS("failing workers"),
  /** All workers of one rack are gone from 12 s on. */
  LOST_RACK("lost rack");

  private final String title;

  LoadPattern(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }
}
