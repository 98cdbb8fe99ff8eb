package dev.bambootray.soak;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.standins.jobs.SimulatedWork;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A job that the callers of the soak submit.
 *
 * @param id its identifier
 * @param payload text that is handed to its tasks
 * @param steps its steps
 * @param work what its tasks do
 * @param poisoned whether all its runs fail
 * @param cancelled whether its caller cancels it
 */
record SoakJob(
    String id,
    String payload,
    List<StepSpec> steps,
    SimulatedWork work,
    boolean poisoned,
    boolean cancelled) {
  private static final double POISON_SHARE = 0.05;
  private static final double CANCEL_SHARE = 0.1;
  private static final int MIN_WORK_MS = 200;

  SoakJob {
    steps = List.copyOf(steps);
  }

  /** Draws a job of a load. */
  static SoakJob draw(SplittableRandom random, SoakLoad load) {
    String id = String.format("%016x", random.nextLong());
    List<StepSpec> steps = new ArrayList<>();
    int count = random.nextInt(4) == 0 ? 2 : 1;
    for (int index = 0; index < count; index++) {
      boolean gang = random.nextBoolean();
      int tasks = 1 + random.nextInt(load.maxTasks());
      int accelerators = gang ? 1 << random.nextInt(4) : 1;
      if (gang) {
        tasks = Math.min(tasks, Math.max(1, load.maxGangAccelerators() / accelerators));
      }
      steps.add(
          StepSpec.builder(tasks, new Resources(accelerators, 2_000, 2_000))
              .after(index == 0 ? List.of() : List.of(index - 1))
              .estimateMs(1_000)
              .gang(gang)
              .sameRack(gang && random.nextBoolean())
              .checkpointing(random.nextBoolean())
              .build());
    }
    long workMs = (long) MIN_WORK_MS + random.nextInt(load.maxWorkMs());
    boolean poisoned = random.nextDouble() < POISON_SHARE;
    return new SoakJob(
        id,
        "payload of " + id,
        steps,
        poisoned ? SimulatedWork.poison(workMs) : SimulatedWork.of(workMs),
        poisoned,
        random.nextDouble() < CANCEL_SHARE);
  }
}
