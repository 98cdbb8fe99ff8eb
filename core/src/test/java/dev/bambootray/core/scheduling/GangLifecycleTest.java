package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.TaskId;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against gangs that run without all members, and against second runs of non-repeatable
 * jobs.
 */
final class GangLifecycleTest {
  private static final RequestKey KEY = RequestKey.of("a", "j1");

  private final PoolFixture fixture =
      new PoolFixture()
          .racks(1, 4)
          .workspace("a")
          .template("gang", PoolFixture.shape(4, 8, Adjacency.RACK), false);

  private ScriptedCluster started() {
    ScriptedCluster cluster = fixture.cluster();
    cluster.submit(fixture.job("a", "j1", "gang"));
    return cluster;
  }

  @Test
  void startsEveryMemberOnceAllAreReserved() {
    ScriptedCluster cluster = started();
    assertEquals(4, cluster.running(KEY));
    assertEquals("running", cluster.scheduler.explain(KEY, cluster.nowMs).state());
  }

  @Nested
  class ReleasesEverything {
    private void assertNothingHeld(ScriptedCluster cluster) {
      assertTrue(cluster.held.isEmpty(), () -> "still held: " + cluster.held);
      assertEquals(32, cluster.scheduler.loadOf(cluster.nowMs).freeAccelerators());
    }

    @Test
    void whenAMemberFails() {
      ScriptedCluster cluster = started();
      TaskId task = cluster.tasksOf(KEY).get(1);
      cluster.held.remove(task);
      Set<TaskId> before = Set.copyOf(cluster.tasksOf(KEY));
      cluster.send(new SchedulerEvent.TaskFailed(task, "out of memory"));
      assertFalse(cluster.held.keySet().stream().anyMatch(before::contains));
    }

    @Test
    void whenALeaseLapses() {
      ScriptedCluster cluster = started();
      TaskId task = cluster.tasksOf(KEY).get(2);
      Set<TaskId> before = Set.copyOf(cluster.tasksOf(KEY));
      cluster.held.remove(task);
      cluster.send(new SchedulerEvent.TaskStopped(task));
      assertFalse(cluster.held.keySet().stream().anyMatch(before::contains));
    }

    @Test
    void whenOneReservationIsRefused() {
      ScriptedCluster cluster = fixture.cluster();
      cluster.refusing.add(PoolFixture.worker(0, 2));
      cluster.submit(fixture.job("a", "j1", "gang"));
      assertNothingHeld(cluster);
      assertTrue(cluster.effects(SchedulerEffect.StartMember.class).isEmpty());
    }

    @Test
    void whenAWorkerDoesNotAnswerAReservation() {
      ScriptedCluster cluster = fixture.cluster();
      cluster.unresponsiveOnReserve.add(PoolFixture.worker(0, 2));
      cluster.submit(fixture.job("a", "j1", "gang"));
      cluster.pass(2_100);
      assertTrue(cluster.held.isEmpty());
      assertTrue(cluster.effects(SchedulerEffect.StartMember.class).isEmpty());
    }

    @Test
    void whenAWorkerDoesNotAnswerAStart() {
      ScriptedCluster cluster = fixture.cluster();
      cluster.unresponsiveOnStart.add(PoolFixture.worker(0, 1));
      cluster.submit(fixture.job("a", "j1", "gang"));
      assertEquals(3, cluster.running(KEY));
      cluster.pass(2_000);
      assertEquals(0, cluster.running(KEY));
      assertTrue(cluster.effects(SchedulerEffect.JobStarted.class).isEmpty());
    }

    @Test
    void whenAWorkerIsLost() {
      ScriptedCluster cluster = started();
      cluster.loseWorker(PoolFixture.worker(0, 3));
      assertTrue(cluster.held.isEmpty());
    }

    @Test
    void whenTheIntentIsRejected() {
      ScriptedCluster cluster = fixture.cluster();
      cluster.confirming = false;
      cluster.submit(fixture.job("a", "j1", "gang"));
      cluster.send(
          new SchedulerEvent.AttemptRejected(
              cluster.effects(SchedulerEffect.AttemptReserved.class).get(0).attempt()));
      assertNothingHeld(cluster);
    }
  }

  @Nested
  class NonRepeatable {
    private ScriptedCluster submitted(ScriptedCluster cluster) {
      cluster.submit(fixture.job("a", "j1", "gang", false, false, PoolFixture.DAY_MS));
      return cluster;
    }

    @Test
    void isNeverStartedAgainAfterItMayHaveRun() {
      ScriptedCluster cluster = submitted(fixture.cluster());
      cluster.loseWorker(PoolFixture.worker(0, 0));
      cluster.send(new SchedulerEvent.WorkerJoined(PoolFixture.worker(0, 0)));
      cluster.pass(10_000);
      assertEquals(4, cluster.effects(SchedulerEffect.StartMember.class).size());
      assertEquals(
          ExecutionStatus.UNKNOWN,
          cluster.effects(SchedulerEffect.JobFailed.class).get(0).error().ran());
    }

    @Test
    void isStartedLaterIfItsFirstReservationFailed() {
      ScriptedCluster cluster = fixture.cluster();
      WorkerId refusing = PoolFixture.worker(0, 0);
      cluster.refusing.add(refusing);
      submitted(cluster);
      cluster.refusing.remove(refusing);
      cluster.pass(5_000);
      assertEquals(4, cluster.running(KEY));
    }
  }

  @Test
  void failsAJobAfterItsMaximumNumberOfFailures() {
    ScriptedCluster cluster = started();
    for (int i = 0; i < 3; i++) {
      TaskId task = cluster.tasksOf(KEY).get(0);
      cluster.held.remove(task);
      cluster.send(new SchedulerEvent.TaskFailed(task, "bad input"));
      cluster.pass(60_000);
    }
    assertEquals(
        ExecutionStatus.YES, cluster.effects(SchedulerEffect.JobFailed.class).get(0).error().ran());
    assertEquals(
        3,
        cluster.effects(SchedulerEffect.AttemptReserved.class).stream()
            .map(SchedulerEffect.AttemptReserved::attempt)
            .collect(Collectors.toSet())
            .size());
  }
}
