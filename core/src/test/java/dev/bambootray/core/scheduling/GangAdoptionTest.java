package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import dev.bambootray.core.worker.TaskSnapshot;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against a new owner that loses, duplicates or splits running gangs. */
final class GangAdoptionTest {
  private static final Shape PAIR = PoolFixture.shape(2, 8, Adjacency.RACK);
  private static final RequestKey KEY = RequestKey.of("a", "j1");

  private final PoolFixture fixture =
      new PoolFixture()
          .racks(1, 3)
          .workspace("a", PoolFixture.guarantee(1, PAIR))
          .template("pair", PAIR, false)
          .template("one", PoolFixture.shape(1, 8, Adjacency.REGION), true);

  private ScriptedCluster adopting() {
    ScriptedCluster cluster = new ScriptedCluster(fixture.scheduler());
    fixture.workerIds().forEach(id -> cluster.send(new SchedulerEvent.WorkerJoined(id)));
    return cluster;
  }

  private void adopt(
      ScriptedCluster cluster,
      int member,
      TaskPhase phase,
      @Nullable String detail,
      boolean repeatable) {
    TaskId task = new TaskId(AttemptToken.of("2:north:n0:7"), member);
    Resources resources = new Resources(8, 8_000, 16_384);
    TaskSnapshot snapshot =
        new TaskSnapshot(task, KEY, TemplateId.of("pair"), 2, 0, resources, phase, detail, 9_000);
    if (phase == TaskPhase.RUNNING || phase == TaskPhase.RESERVED) {
      cluster.held.put(
          task,
          new ScriptedCluster.Held(
              KEY, PoolFixture.worker(0, member), 0, 8, phase == TaskPhase.RUNNING));
    }
    cluster.send(
        new SchedulerEvent.TaskAdopted(
            PoolFixture.worker(0, member),
            snapshot,
            fixture.job("a", "j1", "pair", repeatable, false, PoolFixture.DAY_MS)));
  }

  @Test
  void nothingIsPlacedBeforeAdoptionIsComplete() {
    ScriptedCluster cluster = adopting();
    cluster.submit(fixture.job("a", "new", "one"));
    cluster.pass(5_000);
    assertTrue(cluster.effects(SchedulerEffect.ReserveMember.class).isEmpty());
    cluster.send(new SchedulerEvent.AdoptionCompleted());
    assertEquals(1, cluster.effects(SchedulerEffect.ReserveMember.class).size());
  }

  @Test
  void aCompleteGangKeepsRunningWithinItsGuarantee() {
    ScriptedCluster cluster = adopting();
    adopt(cluster, 0, TaskPhase.RUNNING, null, false);
    adopt(cluster, 1, TaskPhase.RUNNING, null, false);
    cluster.send(new SchedulerEvent.JobSubmitted(fixture.job("a", "j1", "pair")));
    cluster.send(new SchedulerEvent.AdoptionCompleted());
    cluster.pass(5_000);
    assertEquals(2, cluster.running(KEY));
    assertTrue(cluster.scheduler.explain(KEY, cluster.nowMs).reason().contains("within"));
    assertTrue(cluster.effects(SchedulerEffect.ReserveMember.class).isEmpty());
    assertTrue(cluster.effects(SchedulerEffect.GuaranteeBroken.class).isEmpty());
  }

  @Test
  void anIncompleteGangIsReleasedAndRunsAgainIfRepeatable() {
    ScriptedCluster cluster = adopting();
    adopt(cluster, 0, TaskPhase.RUNNING, null, true);
    cluster.send(new SchedulerEvent.AdoptionCompleted());
    cluster.pass(10_000);
    assertEquals(2, cluster.running(KEY));
    assertEquals(2, cluster.effects(SchedulerEffect.StartMember.class).size());
  }

  @Test
  void aGangThatWasOnlyReservedIsReleasedAndStarted() {
    ScriptedCluster cluster = adopting();
    adopt(cluster, 0, TaskPhase.RESERVED, null, false);
    adopt(cluster, 1, TaskPhase.RESERVED, null, false);
    cluster.send(new SchedulerEvent.AdoptionCompleted());
    cluster.pass(5_000);
    assertEquals(2, cluster.running(KEY));
  }

  @Test
  void retainedResultsCompleteTheJob() {
    ScriptedCluster cluster = adopting();
    adopt(cluster, 0, TaskPhase.FINISHED, "{\"x\":1}", false);
    adopt(cluster, 1, TaskPhase.FINISHED, "{}", false);
    cluster.send(new SchedulerEvent.AdoptionCompleted());
    List<SchedulerEffect.JobCompleted> completed =
        cluster.effects(SchedulerEffect.JobCompleted.class);
    assertEquals(1, completed.size());
    assertEquals("{\"x\":1}", completed.get(0).resultJson());
  }

  @Test
  void aNonRepeatableGangWithAMissingMemberIsNotStartedAgain() {
    ScriptedCluster cluster = adopting();
    adopt(cluster, 0, TaskPhase.RUNNING, null, false);
    cluster.send(new SchedulerEvent.AdoptionCompleted());
    cluster.pass(10_000);
    assertTrue(cluster.held.isEmpty());
    assertTrue(cluster.effects(SchedulerEffect.StartMember.class).isEmpty());
    assertEquals(1, cluster.effects(SchedulerEffect.JobFailed.class).size());
  }
}
