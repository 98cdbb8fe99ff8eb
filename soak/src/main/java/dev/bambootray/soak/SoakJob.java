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
  private static final int LONGEST_WORK_MS = 2_500;
  private static final int MOST_TASKS = 6;

  SoakJob {
    steps = List.copyOf(steps);
  }

  /** Draws a job. */
  static SoakJob draw(SplittableRandom random) {
    String id = String.format("%016x", random.nextLong());
    List<StepSpec> steps = new ArrayList<>();
    int count = random.nextInt(4) == 0 ? 2 : 1;
    for (int index = 0; index < count; index++) {
      boolean gang = random.nextBoolean();
      steps.add(
          StepSpec.builder(
                  1 + random.nextInt(MOST_TASKS),
                  new Resources(gang ? 1 << random.nextInt(4) : 1, 2_000, 2_000))
              .after(index == 0 ? List.of() : List.of(index - 1))
              .estimateMs(1_000)
              .gang(gang)
              .sameRack(gang && random.nextBoolean())
              .checkpointing(random.nextBoolean())
              .build());
    }
    long workMs = 200L + random.nextInt(LONGEST_WORK_MS);
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
