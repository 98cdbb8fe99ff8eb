package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskUsage;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against overuse that continues, and against actions on the wrong task or on old readings.
 */
final class UsageEnforcerTest {
  private final PoolFixture fixture =
      new PoolFixture()
          .racks(1, 1)
          .workspace("a")
          .template("one", PoolFixture.shape(1, 2, Adjacency.REGION), true);

  private ScriptedCluster twoJobs() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("a", "greedy", "one"));
    cluster.submit(fixture.job("a", "modest", "one"));
    return cluster;
  }

  private static void report(ScriptedCluster cluster, int greedyMemoryMib, long ageMs) {
    TaskId greedy = cluster.tasksOf(RequestKey.of("a", "greedy")).get(0);
    TaskId modest = cluster.tasksOf(RequestKey.of("a", "modest")).get(0);
    cluster.send(
        new SchedulerEvent.UsageReported(
            PoolFixture.worker(0, 0),
            List.of(
                new TaskUsage(modest, new Resources(2, 2_300, 4_096), ageMs),
                new TaskUsage(greedy, new Resources(2, 2_000, greedyMemoryMib), ageMs))));
  }

  @Test
  void theTaskWithTheLargestOveruseIsThrottledThenCheckpointed() {
    ScriptedCluster cluster = twoJobs();
    report(cluster, 8_192, 0);
    List<SchedulerEffect.ThrottleTask> throttled =
        cluster.effects(SchedulerEffect.ThrottleTask.class);
    assertEquals(1, throttled.size());
    assertEquals(50, throttled.get(0).percent());
    assertEquals(cluster.tasksOf(RequestKey.of("a", "greedy")).get(0), throttled.get(0).task());
    cluster.pass(6_000);
    report(cluster, 8_192, 0);
    assertEquals(1, cluster.effects(SchedulerEffect.CheckpointTask.class).size());
  }

  @Test
  void aReadingFromBeforeTheLastStepIsIgnored() {
    ScriptedCluster cluster = twoJobs();
    report(cluster, 8_192, 0);
    cluster.pass(6_000);
    TaskId greedy = cluster.tasksOf(RequestKey.of("a", "greedy")).get(0);
    cluster.send(
        new SchedulerEvent.UsageReported(
            PoolFixture.worker(0, 0),
            List.of(new TaskUsage(greedy, new Resources(2, 2_000, 8_192), 5_500))));
    assertTrue(cluster.effects(SchedulerEffect.CheckpointTask.class).isEmpty());
  }

  @Test
  void usageReportsDoNotChangeFreeCapacity() {
    ScriptedCluster cluster = twoJobs();
    report(cluster, 1, 0);
    assertEquals(4, cluster.scheduler.loadOf(cluster.nowMs).freeAccelerators());
  }
}
