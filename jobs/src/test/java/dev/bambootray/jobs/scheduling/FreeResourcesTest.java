package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Compares the index that persists between rounds with a linear search over all workers. */
final class FreeResourcesTest {
  private static final int SEEDS = 20;
  private static final int ROUNDS = 40;
  private static final int MAX_WORKERS = 30;
  private static final int MAX_ACCELERATORS = 8;
  private static final int MAX_CORES = 32;
  private static final int MAX_MEMORY_MIB = 64_000;

  private final FreeResources freeResources = new FreeResources();
  private final List<WorkerState> workers = new ArrayList<>();

  @Test
  void findsWhatALinearSearchFinds() {
    for (long seed = 0; seed < SEEDS; seed++) {
      workers.clear();
      Random random = new Random(seed);
      for (int round = 0; round < ROUNDS; round++) {
        change(random, round);
        freeResources.update(workers, round);
        compare(random, "seed " + seed + " round " + round);
        take(random);
        compare(random, "seed " + seed + " round " + round + " after allocating");
      }
    }
  }

  private void change(Random random, int round) {
    if (workers.size() < MAX_WORKERS) {
      workers.add(worker("w" + round));
    }
    WorkerState worker = workers.get(random.nextInt(workers.size()));
    switch (random.nextInt(4)) {
      case 0 -> worker.pausedUntilMs = round + random.nextInt(5);
      case 1 -> workers.remove(worker);
      case 2 -> worker.placements.values().stream().findFirst().ifPresent(p -> remove(p, round));
      default -> addRun(worker, random, round);
    }
  }

  private static void remove(Placement placement, int round) {
    placement.worker.remove(placement, round);
  }

  private static void addRun(WorkerState worker, Random random, int round) {
    Task task = step(random).tasks.get(0);
    worker.add(new Placement(task, new RunName(task.name, round), worker, Phase.RUNNING, round));
  }

  private void take(Random random) {
    for (WorkerState worker : workers) {
      if (random.nextBoolean()) {
        freeResources.allocate(worker, size(random), 1 - random.nextInt(3));
      }
    }
  }

  private void compare(Random random, String where) {
    StepInstance step = step(random);
    List<WorkerState> expected =
        workers.stream()
            .filter(freeResources::isUsable)
            .filter(
                worker ->
                    FreeResources.mayRun(step, worker)
                        && freeResources.countFitting(step, worker) > 0)
            .sorted(
                Comparator.comparingInt((WorkerState w) -> freeResources.free(w).accelerators())
                    .thenComparingInt(w -> freeResources.free(w).millicores())
                    .thenComparing(WorkerState::id))
            .toList();
    assertEquals(ids(expected), ids(freeResources.fitting(step)), where);
    int places =
        expected.stream().mapToInt(worker -> freeResources.countFitting(step, worker)).sum();
    if (places > 0) {
      assertTrue(freeResources.canFit(step, places), where);
    }
    assertFalse(freeResources.canFit(step, places + 1), where);
  }

  private static List<String> ids(List<WorkerState> found) {
    return found.stream().map(WorkerState::id).toList();
  }

  private static WorkerState worker(String id) {
    Resources capacity = new Resources(MAX_ACCELERATORS, MAX_CORES * 1_000, MAX_MEMORY_MIB);
    WorkerState worker =
        new WorkerState(
            new WorkerEntry(id, "s", "10.0.0.1:80", "z", "r", Set.of(), capacity, 1, false));
    worker.listed = true;
    worker.adopted = true;
    return worker;
  }

  private static Resources size(Random random) {
    return new Resources(
        random.nextInt(MAX_ACCELERATORS + 1),
        1_000 * (1 + random.nextInt(MAX_CORES / 2)),
        1_000 * (1 + random.nextInt(MAX_CORES)));
  }

  private static StepInstance step(Random random) {
    StepSpec spec = StepSpec.builder(1, size(random)).build();
    JobSpec job =
        new JobSpec(
            "job",
            "ws",
            "t",
            "s",
            "",
            List.of(spec),
            new JobSpec.Objective(1, 2, 3.0, 1_000),
            JobSpec.Schedule.ONCE,
            0);
    return Job.of(job, null, new EventTime(0, 0)).openSteps().get(0);
  }
}
