package dev.bambootray.daemon.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.StepSpec;
import java.util.List;

/** Builds jobs with a single task for tests in which only a few values matter. */
final class TestJob {
  private final String id;
  private int priority = 1;

  private TestJob(String id) {
    this.id = id;
  }

  /** Returns a job with the given identifier. */
  static JobSpec of(String id) {
    return builder(id).build();
  }

  /** Returns a builder of a job with the given identifier. */
  static TestJob builder(String id) {
    return new TestJob(id);
  }

  /** Sets the priority; 0 is the highest. */
  TestJob priority(int value) {
    priority = value;
    return this;
  }

  JobSpec build() {
    return new JobSpec(
        id,
        "w",
        "t",
        "s",
        "p",
        List.of(StepSpec.builder(1, new Resources(1, 1, 1)).build()),
        new JobSpec.Objective(priority, 1, 1, 1),
        JobSpec.Schedule.ONCE,
        1);
  }
}
