package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.TaskId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against states in which a workspace cannot reclaim its unused guarantee. The check places
 * the unused guarantees by exhaustive search over the tasks that workers hold, without using the
 * data structures of the scheduler.
 */
final class GuaranteeInvariantProperties {
  private static final Shape WHOLE_WORKER = PoolFixture.shape(1, 8, Adjacency.RACK);
  private static final Shape HALVES = PoolFixture.shape(4, 4, Adjacency.RACK);
  private static final List<String> TEMPLATES = List.of("t1", "t2", "t4", "t8", "g4", "g2");

  private final PoolFixture fixture =
      new PoolFixture()
          .racks(2, 3)
          .workspace("a", PoolFixture.guarantee(2, WHOLE_WORKER))
          .workspace("b", PoolFixture.guarantee(1, HALVES))
          .workspace("c")
          .template("t1", PoolFixture.shape(1, 1, Adjacency.REGION), true)
          .template("t2", PoolFixture.shape(1, 2, Adjacency.REGION), false)
          .template("t4", PoolFixture.shape(1, 4, Adjacency.REGION), true)
          .template("t8", WHOLE_WORKER, false)
          .template("g4", HALVES, true)
          .template("g2", PoolFixture.shape(2, 8, Adjacency.ADJACENT_WORKERS), false);

  @Property(tries = 150, seed = "20261204")
  void unusedGuaranteesCanAlwaysBePlaced(@ForAll long seed) {
    run(seed, false);
  }

  @Property(tries = 150, seed = "20261205")
  void unbrokenGuaranteesCanBePlacedWhileWorkersFailAndRejoin(@ForAll long seed) {
    run(seed, true);
  }

  private void run(long seed, boolean losses) {
    Random random = new Random(seed);
    ScriptedCluster cluster = fixture.cluster();
    Set<WorkerId> lost = new HashSet<>();
    Set<RequestKey> once = new HashSet<>();
    if (!losses) {
      cluster.afterEach = () -> check(cluster, lost, once);
    }
    for (int step = 0; step < 60; step++) {
      act(cluster, random, step, losses, lost, once);
      cluster.pass(random.nextInt(5) == 0 ? 4_000 : 100);
      check(cluster, lost, once);
    }
    assertFalse(
        !losses && !cluster.effects(SchedulerEffect.GuaranteeBroken.class).isEmpty(),
        "a guarantee broke although no worker was lost");
  }

  // Failing tasks may quarantine a worker, which is an allowed reason for a broken guarantee, so
  // only
  // runs with losses make tasks fail.
  private void act(
      ScriptedCluster cluster,
      Random random,
      int step,
      boolean losses,
      Set<WorkerId> lost,
      Set<RequestKey> once) {
    List<TaskId> tasks = new ArrayList<>(cluster.held.keySet());
    int choice = random.nextInt(losses ? 14 : 11);
    if (choice < 7 || tasks.isEmpty()) {
      String workspace = List.of("a", "b", "c").get(random.nextInt(3));
      String template = TEMPLATES.get(random.nextInt(TEMPLATES.size()));
      boolean repeatable = random.nextInt(4) > 0;
      String key = "j" + step;
      if (!repeatable) {
        once.add(RequestKey.of(workspace, key));
      }
      cluster.send(
          new SchedulerEvent.JobSubmitted(
              fixture.job(
                  workspace,
                  key,
                  template,
                  repeatable,
                  random.nextInt(3) == 0,
                  PoolFixture.DAY_MS)));
      return;
    }
    TaskId task = tasks.get(random.nextInt(tasks.size()));
    ScriptedCluster.Held held = cluster.held.get(task);
    switch (choice) {
      case 7, 8 -> cluster.finish(held.key());
      case 9, 10 -> cluster.send(new SchedulerEvent.JobsCancelled(List.of(held.key())));
      case 11 -> {
        cluster.held.remove(task);
        cluster.send(new SchedulerEvent.TaskFailed(task, "fault"));
      }
      case 12 -> {
        lost.add(held.worker());
        cluster.loseWorker(held.worker());
      }
      default -> {
        lost.forEach(id -> cluster.send(new SchedulerEvent.WorkerJoined(id)));
        lost.clear();
      }
    }
  }

  private void check(ScriptedCluster cluster, Set<WorkerId> lost, Set<RequestKey> once) {
    Set<WorkerId> usedByA = new HashSet<>();
    boolean usedByB = false;
    List<long[]> racks = new ArrayList<>();
    for (int rack = 0; rack < 2; rack++) {
      long[] free = new long[3];
      for (int position = 0; position < 3; position++) {
        free[position] = lost.contains(PoolFixture.worker(rack, position)) ? 0 : 0xFF;
      }
      racks.add(free);
    }
    for (ScriptedCluster.Held held : cluster.held.values()) {
      boolean within =
          cluster.scheduler.explain(held.key(), cluster.nowMs).reason().contains("within the");
      if (within) {
        if (held.key().workspace().value().equals("a")) {
          usedByA.add(held.worker());
        }
        usedByB |= held.key().workspace().value().equals("b");
      }
      if (within || (once.contains(held.key()) && held.running())) {
        String worker = held.worker().value();
        long mask = ((1L << held.accelerators()) - 1) << held.first();
        racks.get(worker.charAt(1) - '0')[worker.charAt(3) - '0'] &= ~mask;
      }
    }
    int brokenA = broken(cluster, "a");
    int brokenB = broken(cluster, "b");
    // A guarantee of a whole worker is used as long as any job within it runs on that worker.
    int unusedA = 2 - usedByA.size() - brokenA;
    int unusedB = usedByB ? 0 : 1 - brokenB;
    assertTrue(usedByA.size() <= 2, "more work runs within the guarantee than is guaranteed");
    assertTrue(
        canPlace(racks, Math.max(0, unusedA), Math.max(0, unusedB)),
        () ->
            "held: "
                + cluster.held.values()
                + ", lost: "
                + lost
                + ", broken: "
                + cluster.scheduler.brokenGuarantees());
  }

  private static int broken(ScriptedCluster cluster, String workspace) {
    return cluster.scheduler.brokenGuarantees().stream()
        .filter(missing -> missing.workspace().value().equals(workspace))
        .mapToInt(MissingGuarantee::missingCount)
        .sum();
  }

  private static boolean canPlace(List<long[]> racks, int wholes, int halves) {
    if (halves == 0) {
      return countWhole(racks) >= wholes;
    }
    for (long[] rack : racks) {
      for (int taken = 0; taken < 27; taken++) {
        int[] counts = {taken % 3, taken / 3 % 3, taken / 9};
        if (counts[0] + counts[1] + counts[2] == 4 && placeHalves(racks, rack, counts, wholes)) {
          return true;
        }
      }
    }
    return false;
  }

  private static boolean placeHalves(List<long[]> racks, long[] rack, int[] counts, int wholes) {
    long[] saved = rack.clone();
    boolean placed = true;
    for (int worker = 0; worker < 3; worker++) {
      placed &= halfRuns(rack[worker]) >= counts[worker];
      rack[worker] = counts[worker] == 0 ? rack[worker] : 0;
    }
    boolean all = placed && countWhole(racks) >= wholes;
    System.arraycopy(saved, 0, rack, 0, 3);
    return all;
  }

  private static int halfRuns(long mask) {
    int count = 0;
    for (int first = 0; first + 4 <= 8; ) {
      boolean run = (mask >> first & 0xF) == 0xF;
      count += run ? 1 : 0;
      first += run ? 4 : 1;
    }
    return count;
  }

  private static int countWhole(List<long[]> racks) {
    int count = 0;
    for (long[] rack : racks) {
      for (long mask : rack) {
        count += mask == 0xFF ? 1 : 0;
      }
    }
    return count;
  }
}
