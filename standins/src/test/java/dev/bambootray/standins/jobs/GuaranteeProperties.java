package dev.bambootray.standins.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.StepSpec;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Tests guarantees under random mixes of guaranteed and borrowed work without faults; the rig
 * checks that jobs within a guarantee start in time.
 */
final class GuaranteeProperties {
  private static final int WORKERS = 20;
  private static final int WORKERS_PER_RACK = 5;
  private static final int JOBS = 60;

  /** Accelerators guaranteed to each of two workspaces, together 60% of the pool. */
  private static final int GUARANTEED = 48;

  @Property(tries = 150, seed = "20261205")
  void jobsWithinAGuaranteeStartInTime(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    SchedulerRig rig =
        new SchedulerRig(seed)
            .workers(WORKERS, WORKERS_PER_RACK, new Resources(8, 32_000, 64_000))
            .guarantee("ws", GUARANTEED)
            .guarantee("other", GUARANTEED);
    rig.pool.takeOver();
    rig.run(300);
    for (int i = 0; i < JOBS; i++) {
      if (random.nextInt(3) == 0) {
        rig.submit(
            "borrowed" + i, 1 + random.nextInt(2), 4_000 + random.nextInt(16_000), any(random));
      } else {
        rig.submitTo(
            random.nextBoolean() ? "ws" : "other",
            "urgent" + i,
            0,
            500 + random.nextInt(5_000),
            any(random));
      }
      rig.run(50 + random.nextInt(600));
    }
    rig.run(20_000);
  }

  private static StepSpec any(Random random) {
    boolean gang = random.nextInt(4) > 0;
    boolean wide = random.nextInt(4) == 0;
    int accelerators = gang && !wide ? 1 << random.nextInt(4) : 1 << random.nextInt(2);
    StepSpec.Builder step =
        StepSpec.builder(
                1 + random.nextInt(wide ? 24 : 8), new Resources(accelerators, 2_000, 2_000))
            .estimateMs(500L << random.nextInt(4))
            .gang(gang)
            .sameRack(gang && random.nextInt(4) > 0)
            .maxPerWorker(random.nextInt(6) == 0 ? 2 : 0);
    if (!gang && random.nextInt(3) == 0) {
      step.dataRack("rack" + random.nextInt(WORKERS / WORKERS_PER_RACK));
    }
    return step.build();
  }
}
