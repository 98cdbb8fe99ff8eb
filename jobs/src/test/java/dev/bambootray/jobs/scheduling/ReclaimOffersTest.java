package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.scheduling.Placement.Phase;
import dev.bambootray.jobs.scheduling.ReclaimOffers.Offer;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class ReclaimOffersTest {
  private static final long NOW_MS = 10_000;

  private final WorkerState worker = workerOfEightAccelerators();
  private final Map<WorkerState, Integer> kept = new HashMap<>();

  private static WorkerState workerOfEightAccelerators() {
    WorkerState worker =
        new WorkerState(
            new WorkerEntry(
                "w",
                "s",
                "10.0.0.1:1",
                "z",
                "r",
                Set.of(),
                new Resources(8, 32_000, 64_000),
                1,
                false));
    worker.listed = true;
    worker.adopted = true;
    return worker;
  }

  private static StepInstance step(String id, StepSpec.Builder spec) {
    JobSpec job =
        new JobSpec(
            id,
            "ws",
            "t",
            "s",
            "p",
            List.of(spec.build()),
            new JobSpec.Objective(0, 1, 1, 1),
            JobSpec.Schedule.ONCE,
            1);
    return Job.of(job, null, new EventTime(1, 1)).openSteps().get(0);
  }

  private static StepSpec.Builder each(int count, int accelerators) {
    return StepSpec.builder(count, new Resources(accelerators, 1_000, 1_000));
  }

  /** Adds the runs of a step, each started a second before the one before it. */
  private void run(StepInstance step) {
    for (Task task : step.tasks) {
      long startedMs = NOW_MS - 1_000L * (1 + task.name.index());
      worker.add(new Placement(task, new RunName(task.name, 1), worker, Phase.RUNNING, startedMs));
    }
  }

  private List<Offer> offers(StepInstance step, Predicate<Placement> mayStop) {
    FreeResources freeResources = new FreeResources();
    freeResources.update(List.of(worker), NOW_MS);
    ReclaimRequest request = new ReclaimRequest(step, 1, kept, false, false, mayStop, NOW_MS);
    ReclaimOffers offers = ReclaimOffers.of(request, worker, 0, freeResources);
    List<Offer> found = new ArrayList<>();
    for (Optional<Offer> next = offers.next(); next.isPresent(); next = offers.next()) {
      found.add(next.get());
    }
    return found;
  }

  @Nested
  final class Places {
    @Test
    void comeFromFreeResourcesFirst() {
      run(step("borrowed", each(4, 1)));
      List<Offer> offers = offers(step("gang", each(8, 4)), victim -> true);
      assertEquals(2, offers.size());
      assertEquals(1, offers.get(0).places());
      assertTrue(offers.get(0).victims().isEmpty());
      assertEquals(1, offers.get(1).places());
      assertEquals(4, offers.get(1).victims().size());
    }

    @Test
    void costMoreTheMoreRunsAreStopped() {
      run(step("borrowed", each(8, 1)));
      List<Offer> offers = offers(step("gang", each(8, 2)), victim -> true);
      assertEquals(4, offers.size());
      for (int i = 1; i < offers.size(); i++) {
        assertTrue(offers.get(i).cost() > offers.get(i - 1).cost(), offers::toString);
      }
    }

    @Test
    void leaveRunsThatMustNotBeStopped() {
      run(step("borrowed", each(4, 1)));
      run(step("covered", each(4, 1)));
      List<Offer> offers =
          offers(
              step("gang", each(8, 2)),
              victim -> victim.task.step.job.spec.id().equals("borrowed"));
      assertEquals(2, offers.size());
    }

    @Test
    void areLimitedByTheMostThatOneWorkerMayRun() {
      run(step("borrowed", each(8, 1)));
      List<Offer> offers = offers(step("apart", each(8, 1).maxPerWorker(3)), victim -> true);
      assertEquals(3, offers.stream().mapToInt(Offer::places).sum());
    }

    /** Guards against a place where the step already has as many tasks as allowed. */
    @Test
    void leaveOutTasksThatTheWorkerAlreadyHasOrIsReservedFor() {
      StepInstance apart = step("apart", each(5, 1).maxPerWorker(3));
      Task running = apart.tasks.get(0);
      worker.add(new Placement(running, new RunName(running.name, 1), worker, Phase.RUNNING, 1));
      kept.put(worker, 1);
      List<Offer> offers = offers(apart, victim -> true);
      assertEquals(1, offers.stream().mapToInt(Offer::places).sum());
    }
  }
}
