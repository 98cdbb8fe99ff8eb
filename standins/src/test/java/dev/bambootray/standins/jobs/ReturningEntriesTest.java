package dev.bambootray.standins.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against idle workers that got no runs any more after their entries had expired and come
 * back between two rounds of placement.
 */
final class ReturningEntriesTest {
  private static final int WORKERS = 12;

  /** With more than 30 waiting steps, rounds of placement are 100 ms apart. */
  private static final int WAITING_JOBS = 35;

  private static final Resources CAPACITY = new Resources(8, 32_000, 64_000);
  private static final StepSpec WHOLE_WORKER = SchedulerRig.tasks(1, 8);

  private static SchedulerRig rigWithLongQueue(long seed) {
    SchedulerRig rig = new SchedulerRig(seed).workers(WORKERS, 4, CAPACITY);
    rig.pool.takeOver();
    rig.run(200);
    for (int job = 0; job < WAITING_JOBS; job++) {
      rig.submit(
          "waiting" + job, 1, 1_000, StepSpec.builder(1, CAPACITY).requiredLabel("absent").build());
    }
    rig.run(500);
    return rig;
  }

  @Test
  void allWorkersAreUsedAfterAllEntriesHaveComeBackAtOnce() {
    SchedulerRig rig = rigWithLongQueue(1);
    List<SimulatedPoolWorker> workers = List.copyOf(rig.pool.workers());
    workers.forEach(rig.pool.crashes()::expireEntry);
    workers.forEach(rig.pool.crashes()::renewEntry);
    rig.run(500);
    for (int job = 0; job < WORKERS; job++) {
      rig.submit("job" + job, 1, 5_000, WHOLE_WORKER);
    }
    rig.run(1_000);
    assertEquals(WORKERS, rig.starts, rig.pool::describe);
  }

  @Property(tries = 100, seed = "20261206")
  void allWorkersAreUsedWhileEntriesComeAndGo(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    SchedulerRig rig = rigWithLongQueue(seed);
    for (int change = 0; change < 40; change++) {
      SimulatedPoolWorker worker = rig.worker("w" + random.nextInt(WORKERS));
      rig.pool.crashes().expireEntry(worker);
      rig.run(10L * random.nextInt(12));
      rig.pool.crashes().renewEntry(worker);
      if (random.nextInt(3) == 0) {
        rig.submit("early" + change, random.nextInt(3), 1_000, WHOLE_WORKER);
      }
      rig.run(10L * random.nextInt(12));
    }
    rig.run(20_000);
    int before = rig.starts;
    for (int job = 0; job < WORKERS; job++) {
      rig.submit("late" + job, 1, 5_000, WHOLE_WORKER);
    }
    rig.run(1_000);
    assertEquals(before + WORKERS, rig.starts, rig.pool::describe);
  }
}
