package dev.bambootray.core.routing;

/**
 * Lowers the concurrency of a target in proportion to how much slower its runs are than those of
 * the other targets, so that a target that slows down under load gets fewer requests. A paced
 * target gets one run at a time.
 */
final class SlownessConcurrencyPolicy implements ConcurrencyPolicy {
  @Override
  public int limit(Target target) {
    if (target.isPaced()) {
      return 1;
    }
    return target.isSlow()
        ? Math.max(1, (int) (target.slots() / target.slowness()))
        : target.slots();
  }
}
