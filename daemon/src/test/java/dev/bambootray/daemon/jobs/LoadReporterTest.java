package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.scheduling.JobScheduler;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class LoadReporterTest {
  private static final long START_MS = 5_000;
  private static final long EPOCH = 3;
  private static final JobScheduler.Load IDLE = new JobScheduler.Load(0, 0, 0, 8, 8, 0, 0);
  private static final JobScheduler.Load BUSY = new JobScheduler.Load(4, 2, 1, 5, 8, 3, 8_000);
  private static final String NO_CALLS = " " + new CallLatencies().report();
  private static final String LOAD = "sched: id=n1 epoch=3 load ";
  private static final String BUSY_LINE = LOAD + BUSY + " longest_pause_ms=0" + NO_CALLS;

  private final RecordedLog recorded = new RecordedLog();
  private final JobMetrics metrics = JobMetrics.create();
  private final LoadReporter reporter = new LoadReporter("n1", recorded.log(), metrics);

  @Nested
  final class Metrics {
    @Test
    void showTheNewestLoad() {
      reporter.report(IDLE, EPOCH, START_MS);
      reporter.report(BUSY, EPOCH, START_MS + 1);
      String text = metrics.expose();
      assertTrue(text.contains("bambootray_job_open 4.0"), text);
      assertTrue(text.contains("bambootray_job_free_accelerators 5.0"), text);
      assertTrue(text.contains("bambootray_job_runs_in_closed_domains 1.0"), text);
      assertTrue(text.contains("bambootray_job_overdue_guarantees 3.0"), text);
    }
  }

  @Nested
  final class Lines {
    @Test
    void areWrittenWhileJobsAreOpen() {
      reporter.report(BUSY, EPOCH, START_MS);
      assertEquals(List.of(BUSY_LINE), recorded.lines());
    }

    /** Guards against a log that an idle pool fills. */
    @Test
    void areNotWrittenForAnIdlePool() {
      reporter.report(IDLE, EPOCH, START_MS);
      assertEquals(List.of(), recorded.lines());
    }

    /** Guards against a line at each tick of the control thread. */
    @Test
    void areWrittenOnceInEachInterval() {
      long nextMs = START_MS + LoadReporter.LINE_INTERVAL_MS;
      reporter.report(BUSY, EPOCH, START_MS);
      reporter.report(BUSY, EPOCH, nextMs - 1);
      assertEquals(List.of(BUSY_LINE), recorded.lines());
      reporter.report(BUSY, EPOCH, nextMs);
      String afterPause = LOAD + BUSY + " longest_pause_ms=999" + NO_CALLS;
      assertEquals(List.of(BUSY_LINE, afterPause), recorded.lines());
    }

    @Test
    void areNotDelayedByAnIdlePool() {
      reporter.report(IDLE, EPOCH, START_MS);
      reporter.report(BUSY, EPOCH, START_MS + 1);
      assertEquals(List.of(LOAD + BUSY + " longest_pause_ms=1" + NO_CALLS), recorded.lines());
    }
  }
}
