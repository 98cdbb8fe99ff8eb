package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.daemon.jobs.CallLatencies.Kind;
import org.junit.jupiter.api.Test;

final class CallLatenciesTest {
  private final CallLatencies latencies = new CallLatencies();

  @Test
  void reportsEachKindOnceAndBeginsAnew() {
    latencies.record(Kind.ORDERS, 20, true);
    latencies.record(Kind.ORDERS, 300, false);
    latencies.record(Kind.COMMITS, 5, true);
    assertEquals(
        "commits=1 failed=0 slowest_ms=5 orders=2 failed=1 slowest_ms=300"
            + " lists=0 failed=0 slowest_ms=0",
        latencies.report());
    assertEquals(
        "commits=0 failed=0 slowest_ms=0 orders=0 failed=0 slowest_ms=0"
            + " lists=0 failed=0 slowest_ms=0",
        latencies.report());
  }
}
