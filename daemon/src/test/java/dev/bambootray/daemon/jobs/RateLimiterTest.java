package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

final class RateLimiterTest {
  private final RateLimiter limiter = new RateLimiter(5, 3);

  private long acquire(long fromMs, long toMs, long stepMs) {
    return LongStream.iterate(fromMs, ms -> ms <= toMs, ms -> ms + stepMs)
        .filter(limiter::tryAcquire)
        .count();
  }

  @Test
  void allowsABurst() {
    assertEquals(3, acquire(0, 9, 1));
  }

  @Test
  void allowsItsRateAfterABurst() {
    acquire(0, 9, 1);
    assertEquals(50, acquire(10, 10_010, 10));
  }

  @Test
  void savesNoMoreThanABurst() {
    assertEquals(3, acquire(0, 9, 1));
    assertEquals(3, acquire(60_000, 60_009, 1));
    assertFalse(limiter.tryAcquire(60_010));
  }
}
