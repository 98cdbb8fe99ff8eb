package dev.bambootray.core.scheduling;

import static java.util.stream.Collectors.toSet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.TaskId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a broken worker that fails one job after another, and against poison jobs that get
 * workers quarantined.
 */
final class WorkerFailureTrackerTest {
  private static final WorkerId BROKEN = PoolFixture.worker(0, 0);
  private static final long LATE_MS = 86_400_000;

  private final PoolFixture fixture =
      new PoolFixture()
          .racks(1, 4)
          .workspace("a")
          .template("one", PoolFixture.shape(1, 8, Adjacency.REGION), true)
          .template("poison", PoolFixture.shape(1, 8, Adjacency.REGION), true);

  private static void failAll(ScriptedCluster cluster, WorkerId worker) {
    for (Map.Entry<TaskId, ScriptedCluster.Held> entry : List.copyOf(cluster.held.entrySet())) {
      if (entry.getValue().worker().equals(worker)) {
        cluster.held.remove(entry.getKey());
        cluster.send(new SchedulerEvent.TaskFailed(entry.getKey(), "broken"));
      }
    }
  }

  private static long on(ScriptedCluster cluster, WorkerId worker) {
    return cluster.held.values().stream().filter(h -> h.worker().equals(worker)).count();
  }

  private ScriptedCluster afterThreeFailures() {
    return afterThreeFailures(LATE_MS);
  }

  private ScriptedCluster afterThreeFailures(long deadlineInMs) {
    ScriptedCluster cluster = fixture.cluster();
    for (int i = 0; i < 40; i++) {
      cluster.submit(fixture.job("a", "j" + i, "one", true, false, cluster.nowMs + deadlineInMs));
    }
    for (int i = 0; i < 3; i++) {
      failAll(cluster, BROKEN);
      cluster.pass(100);
    }
    return cluster;
  }

  @Test
  void aWorkerThatFailsDistinctJobsIsQuarantinedAndNoJobFails() {
    ScriptedCluster cluster = afterThreeFailures();
    cluster.pass(20_000);
    assertEquals(0, on(cluster, BROKEN));
    assertEquals(24, cluster.scheduler.loadOf(cluster.nowMs).totalAccelerators());
    assertTrue(cluster.effects(SchedulerEffect.JobFailed.class).isEmpty());
  }

  /** Guards against "not run" for a job whose failed run was counted against its worker. */
  @Test
  void aJobThatRanOnABrokenWorkerIsNeverReportedAsNotRun() {
    ScriptedCluster cluster = afterThreeFailures(10_000);
    for (int i = 1; i < 4; i++) {
      cluster.send(new SchedulerEvent.WorkerLost(PoolFixture.worker(0, i)));
    }
    Set<RequestKey> started =
        cluster.effects(SchedulerEffect.StartMember.class).stream()
            .map(SchedulerEffect.StartMember::key)
            .collect(toSet());
    cluster.pass(20_000);
    List<RequestKey> notRun =
        cluster.effects(SchedulerEffect.JobFailed.class).stream()
            .filter(failed -> failed.error().ran() == ExecutionStatus.NO)
            .map(SchedulerEffect.JobFailed::key)
            .toList();
    assertFalse(notRun.isEmpty());
    assertTrue(notRun.stream().noneMatch(started::contains));
  }

  @Test
  void aQuarantinedWorkerIsProbedAndReadmittedOnSuccess() {
    ScriptedCluster cluster = afterThreeFailures();
    cluster.pass(60_000);
    assertEquals(1, on(cluster, BROKEN));
    RequestKey probe =
        cluster.held.values().stream()
            .filter(h -> h.worker().equals(BROKEN))
            .findFirst()
            .orElseThrow()
            .key();
    cluster.finish(probe);
    assertEquals(1, on(cluster, BROKEN));
    assertEquals(32, cluster.scheduler.loadOf(cluster.nowMs).totalAccelerators());
  }

  @Test
  void aFailedProbeExtendsTheQuarantine() {
    ScriptedCluster cluster = afterThreeFailures();
    cluster.pass(60_000);
    failAll(cluster, BROKEN);
    cluster.pass(55_000);
    assertEquals(0, on(cluster, BROKEN));
  }

  @Test
  void poisonJobsQuarantineNoWorker() {
    ScriptedCluster cluster = fixture.cluster();
    for (int i = 0; i < 6; i++) {
      cluster.submit(fixture.job("a", "p" + i, "poison"));
    }
    for (int round = 0; round < 30; round++) {
      fixture.workerIds().forEach(worker -> failAll(cluster, worker));
      cluster.pass(2_000);
    }
    assertEquals(6, cluster.effects(SchedulerEffect.JobFailed.class).size());
    assertEquals(32, cluster.scheduler.loadOf(cluster.nowMs).totalAccelerators());
  }
}
