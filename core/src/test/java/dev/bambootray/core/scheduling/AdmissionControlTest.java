package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against queued jobs that can never run and against work beyond the limits of a workspace.
 */
final class AdmissionControlTest {
  private final PoolFixture fixture =
      new PoolFixture()
          .racks(1, 2)
          .workspace("a", 3, 8)
          .workspace("b", 1_000, 1_000)
          .template("small", PoolFixture.shape(1, 2, Adjacency.REGION), true)
          .template("whole", PoolFixture.shape(1, 8, Adjacency.REGION), true)
          .template("long-run", PoolFixture.shape(1, 16, Adjacency.REGION), true)
          .template("large", PoolFixture.shape(3, 8, Adjacency.REGION), true);

  private static RequestError onlyError(ScriptedCluster cluster) {
    List<SchedulerEffect.JobFailed> failed = cluster.effects(SchedulerEffect.JobFailed.class);
    assertEquals(1, failed.size());
    return failed.get(0).error();
  }

  @Test
  void aRunOfAcceleratorsLongerThanAnyWorkerIsRefusedWithTheReason() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("b", "j", "long-run"));
    RequestError error = onlyError(cluster);
    assertEquals(ExecutionStatus.NO, error.ran());
    assertFalse(error.retryable());
    assertTrue(error.message().contains("at most 8 in a worker"), error.message());
  }

  @Test
  void aGangLargerThanTheRegionIsRefused() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("b", "j", "large"));
    assertTrue(onlyError(cluster).message().contains("16 accelerators"));
  }

  @Test
  void aJobBeyondTheLimitOfItsWorkspaceIsRefused() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("a", "j", "large"));
    assertTrue(onlyError(cluster).message().contains("at most 8"));
  }

  @Test
  void aWorkspaceUsesNoMoreThanItsLimitAndQueuesNoMoreThanItsLimit() {
    ScriptedCluster cluster = fixture.cluster();
    for (int i = 0; i < 8; i++) {
      cluster.submit(fixture.job("a", "j" + i, "small"));
    }
    assertEquals(4, cluster.held.size());
    RequestError error = onlyError(cluster);
    assertTrue(error.retryable());
    assertEquals(ExecutionStatus.NO, error.ran());
    assertTrue(
        cluster.scheduler.explain(RequestKey.of("a", "j4"), cluster.nowMs).reason().contains("8"));
  }

  @Test
  void aJobWhoseDeadlinePassesInTheQueueIsAnsweredAsNotRun() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("b", "b1", "whole"));
    cluster.submit(fixture.job("b", "b2", "whole"));
    cluster.submit(fixture.job("b", "late", "whole", true, false, cluster.nowMs + 5_000));
    cluster.pass(4_000);
    assertTrue(cluster.effects(SchedulerEffect.JobFailed.class).isEmpty());
    cluster.pass(1_500);
    assertEquals(ExecutionStatus.NO, onlyError(cluster).ran());
  }

  @Test
  void aMassCancellationFreesAllAcceleratorsAtOnceAndStartsWaitingJobs() {
    ScriptedCluster cluster = fixture.cluster();
    List<RequestKey> keys = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      cluster.send(new SchedulerEvent.JobSubmitted(fixture.job("b", "j" + i, "whole")));
      keys.add(RequestKey.of("b", "j" + i));
    }
    cluster.pass(200);
    cluster.submit(fixture.job("a", "next", "whole"));
    cluster.send(new SchedulerEvent.JobsCancelled(keys));
    cluster.pass(200);
    assertEquals(200, cluster.effects(SchedulerEffect.JobFailed.class).size());
    assertEquals(1, cluster.running(RequestKey.of("a", "next")));
  }

  @Test
  void aBurstIsPlacedAsOneBatch() {
    ScriptedCluster cluster = fixture.cluster();
    List<SchedulerEvent> burst = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      burst.add(new SchedulerEvent.JobSubmitted(fixture.job("b", "j" + i, "small")));
    }
    cluster.nowMs += 1_000;
    List<SchedulerEffect> effects = cluster.scheduler.handleAll(burst, cluster.nowMs);
    assertEquals(8, effects.size());
  }
}
