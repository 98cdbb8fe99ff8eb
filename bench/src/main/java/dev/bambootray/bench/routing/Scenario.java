package dev.bambootray.bench.routing;

/** The conditions of a replay. */
enum Scenario {
  /** All targets work. */
  NORMAL("85% load"),
  /** A tenth of the targets turns ten times slow and one failure domain is lost. */
  SLOW_AND_LOST("slow and lost"),
  /** Half of the targets fail every run. */
  HALF_FAILING("half failing");

  private final String title;

  Scenario(String title) {
    this.title = title;
  }

  String title() {
    return title;
  }
}
