package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.jobs.store.Row;
import java.util.List;
import org.junit.jupiter.api.Test;

final class FormatReporterTest {
  private final RecordedLog recorded = new RecordedLog();
  private final JobMetrics metrics = JobMetrics.create();
  private final StoreFormats formats = TestFormats.spread();
  private final FormatReporter reporter =
      new FormatReporter("n1", recorded.log(), metrics, formats);

  private void read(String job) {
    formats.noteJobRow(new Row(JobTables.JOBS_FORMAT_1, job, new byte[0], 1, false));
  }

  /** Guards against an operator who cannot see when the last job of the older format is gone. */
  @Test
  void logsEachChangeOnce() {
    read("a");
    read("b");
    reporter.report();
    reporter.report();
    formats.forgetJob("a");
    formats.forgetJob("b");
    reporter.report();
    assertEquals(
        List.of("format: id=n1 jobs_in_format_1=2", "format: id=n1 jobs_in_format_1=0"),
        recorded.lines());
  }

  @Test
  void logsNothingWithoutJobsOfTheOlderFormat() {
    reporter.report();
    assertEquals(List.of(), recorded.lines());
  }

  @Test
  void showsTheNewestNumber() {
    read("a");
    read("b");
    reporter.report();
    formats.forgetJob("a");
    reporter.report();
    String text = metrics.expose();
    assertTrue(text.contains("bambootray_job_format_1 1.0"), text);
  }
}
