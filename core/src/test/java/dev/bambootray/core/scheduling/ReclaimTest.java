package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Shape;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against claims that start late, lose work needlessly or stop work that must not stop. */
final class ReclaimTest {
  private static final Shape WHOLE = PoolFixture.shape(1, 8, Adjacency.REGION);
  private static final RequestKey CLAIM = RequestKey.of("a", "claim");

  private final PoolFixture fixture =
      new PoolFixture()
          .racks(1, 2)
          .workspace("a", PoolFixture.guarantee(1, WHOLE))
          .workspace("b")
          .template("whole", WHOLE, true)
          .template("plain", WHOLE, false)
          .template("small", PoolFixture.shape(1, 2, Adjacency.REGION), true);

  private void claim(ScriptedCluster cluster) {
    cluster.submit(fixture.job("a", "claim", "whole", true, true, PoolFixture.DAY_MS));
  }

  /** Fills both workers with borrowed jobs; jobs without checkpoints borrow only after a wait. */
  private ScriptedCluster full(String template) {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("b", "b1", template));
    cluster.submit(fixture.job("b", "b2", template));
    cluster.pass(70_000);
    assertEquals(2, cluster.held.size());
    return cluster;
  }

  @Test
  void anUrgentClaimStartsWithinFiveSecondsAndItsVictimResumesLater() {
    ScriptedCluster cluster = full("whole");
    claim(cluster);
    cluster.pass(1_000);
    assertEquals(1, cluster.running(CLAIM));
    assertEquals(1, cluster.effects(SchedulerEffect.CheckpointTask.class).size());
    cluster.finish(CLAIM);
    cluster.pass(5_000);
    assertEquals(2, cluster.held.size());
    SchedulerEffect.StartMember resumed = cluster.effects(SchedulerEffect.StartMember.class).get(3);
    assertEquals("cp0", resumed.checkpoint());
    assertTrue(cluster.effects(SchedulerEffect.JobFailed.class).isEmpty());
  }

  @Test
  void aLateCheckpointIsThrottledThenStoppedAndTheClaimStillStartsWithinFiveSeconds() {
    ScriptedCluster cluster = full("whole");
    cluster.checkpointing = false;
    claim(cluster);
    cluster.pass(1_700);
    assertEquals(1, cluster.effects(SchedulerEffect.ThrottleTask.class).size());
    assertTrue(cluster.effects(SchedulerEffect.StopTask.class).isEmpty());
    cluster.pass(3_000);
    assertEquals(1, cluster.effects(SchedulerEffect.StopTask.class).size());
    assertEquals(1, cluster.running(CLAIM));
  }

  @Test
  void theVictimIsTheOneThatLosesTheLeastWork() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("b", "plain", "plain"));
    cluster.submit(fixture.job("b", "check", "whole"));
    cluster.pass(70_000);
    claim(cluster);
    cluster.pass(2_000);
    assertEquals(1, cluster.running(RequestKey.of("b", "plain")));
    assertEquals(0, cluster.running(RequestKey.of("b", "check")));
  }

  @Test
  void aNonRepeatableJobIsNeverPlacedOnAnIdleGuarantee() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("b", "n1", "whole", false, false, PoolFixture.DAY_MS));
    cluster.submit(fixture.job("b", "n2", "whole", false, false, PoolFixture.DAY_MS));
    cluster.pass(2_000_000);
    assertEquals(1, cluster.held.size());
    claim(cluster);
    cluster.pass(1_000);
    assertEquals(1, cluster.running(CLAIM));
    assertEquals(1, cluster.running(RequestKey.of("b", "n1")));
  }

  @Test
  void smallJobsOfAWorkspaceDoNotUseUpItsGuarantee() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("b", "b1", "whole"));
    for (int i = 0; i < 4; i++) {
      cluster.submit(fixture.job("a", "s" + i, "small"));
    }
    assertEquals(5, cluster.held.size());
    claim(cluster);
    cluster.pass(1_000);
    assertEquals(1, cluster.running(CLAIM));
  }

  @Test
  void twoWorkspacesWithClaimsDoNotPreemptEachOtherInALoop() {
    ScriptedCluster cluster =
        new PoolFixture()
            .racks(1, 2)
            .workspace("a", PoolFixture.guarantee(1, WHOLE))
            .workspace("b", PoolFixture.guarantee(1, WHOLE))
            .template("whole", WHOLE, true)
            .cluster();
    for (int i = 0; i < 3; i++) {
      cluster.submit(fixture.job("a", "a" + i, "whole", true, true, PoolFixture.DAY_MS));
      cluster.submit(fixture.job("b", "b" + i, "whole", true, true, PoolFixture.DAY_MS));
    }
    cluster.pass(2_000_000);
    assertEquals(2, cluster.held.size());
    assertTrue(cluster.effects(SchedulerEffect.CheckpointTask.class).size() <= 1);
  }

  @Test
  void preemptionsDoNotCountAsFailuresOfAJob() {
    ScriptedCluster cluster = full("whole");
    for (int i = 0; i < 6; i++) {
      cluster.submit(fixture.job("a", "c" + i, "whole", true, true, PoolFixture.DAY_MS));
      cluster.pass(2_000);
      cluster.finish(RequestKey.of("a", "c" + i));
      cluster.pass(120_000);
    }
    assertTrue(cluster.effects(SchedulerEffect.JobFailed.class).isEmpty());
    Set<RequestKey> held =
        cluster.held.values().stream().map(ScriptedCluster.Held::key).collect(Collectors.toSet());
    assertEquals(Set.of(RequestKey.of("b", "b1"), RequestKey.of("b", "b2")), held);
  }

  @Test
  void lostWorkersBreakTheGuaranteeAndARejoinedWorkerRestoresIt() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.loseWorker(PoolFixture.worker(0, 0));
    assertTrue(cluster.effects(SchedulerEffect.GuaranteeBroken.class).isEmpty());
    cluster.loseWorker(PoolFixture.worker(0, 1));
    List<SchedulerEffect.GuaranteeBroken> broken =
        cluster.effects(SchedulerEffect.GuaranteeBroken.class);
    assertEquals(1, broken.size());
    assertTrue(broken.get(0).missing().contains("1 x 8 adjacent accelerators"));
    cluster.send(new SchedulerEvent.WorkerJoined(PoolFixture.worker(0, 1)));
    cluster.pass(100);
    assertEquals(1, cluster.effects(SchedulerEffect.GuaranteeRestored.class).size());
    assertFalse(cluster.effects.isEmpty());
  }
}
