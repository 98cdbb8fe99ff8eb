package dev.bambootray.daemon.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class JobPartitionsTest {
  private static final String JOB = "00f1a7c39b2d4e68";

  private final JobPartitions partitions = new JobPartitions();

  @Test
  void keepsTheRowsOfAJobTogether() {
    String partition = partitions.partitionOf(JobTables.JOBS, JOB);
    assertEquals(partition, partitions.partitionOf(JobTables.JOBS, JobTables.cancelKey(JOB)));
    assertEquals(
        List.of(partition),
        partitions.partitionsOf(JobTables.JOBS, JOB, JobTables.endOfJobRows(JOB)));
    assertEquals(
        List.of(partition), partitions.partitionsOf(JobTables.JOBS, JOB, JobTables.keyAfter(JOB)));
  }

  @Test
  void keepsTheOwnerWithItsRecords() {
    assertEquals(
        partitions.partitionOf(JobTables.OWNER, JobTables.OWNER_KEY),
        partitions.partitionOf(JobTables.RECORDS, JOB));
  }

  @Test
  void readsAllPartitionsForARangeOfSeveralJobs() {
    List<String> all = partitions.partitionsOf(JobTables.JOBS, "", "");
    assertEquals(all, partitions.partitionsOf(JobTables.JOBS, JobTables.keyAfter(JOB), ""));
    assertTrue(all.contains(partitions.partitionOf(JobTables.JOBS, JOB)));
  }

  @Test
  void spreadsJobsEvenly() {
    Map<String, Integer> counts = new HashMap<>();
    IntStream.range(0, 4_800)
        .mapToObj(number -> String.format("%016x", number * 0x9e3779b97f4a7c15L))
        .forEach(job -> counts.merge(partitions.partitionOf(JobTables.JOBS, job), 1, Integer::sum));
    counts.forEach((partition, count) -> assertTrue(count > 150 && count < 600, partition));
    Set<String> spread = new HashSet<>(partitions.partitionsOf(JobTables.JOBS, "", ""));
    assertTrue(spread.remove(partitions.partitionOf(JobTables.JOBS_FORMAT_1, JOB)));
    assertEquals(spread, counts.keySet());
  }
}
