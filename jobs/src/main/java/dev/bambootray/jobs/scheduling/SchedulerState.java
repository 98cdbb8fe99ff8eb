package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobDeclaration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds the state shared by the parts of the scheduler; confined to the control thread. */
final class SchedulerState {
  final SchedulerTimes times;
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, WorkerState> workers = new LinkedHashMap<>();
  final TemplateStatistics statistics = new TemplateStatistics();
  final RecordBatcher batches = new RecordBatcher();
  final StepReservations reservations = new StepReservations();
  JobDeclaration declaration = new JobDeclaration(0, List.of(), Map.of(), List.of(), 0);

  /** Whether a change since the last round of placement may let a waiting step be placed. */
  boolean planWanted;

  private List<JobEffect> effects = new ArrayList<>();

  SchedulerState(SchedulerTimes times) {
    this.times = times;
  }

  void emit(JobEffect effect) {
    effects.add(effect);
  }

  void logDecision(String subject, String text) {
    effects.add(new JobEffect.Decided(subject, text));
  }

  List<JobEffect> takeEffects() {
    List<JobEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  Optional<WorkerState> worker(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  Optional<Job> job(String id) {
    return Optional.ofNullable(jobs.get(id));
  }
}
