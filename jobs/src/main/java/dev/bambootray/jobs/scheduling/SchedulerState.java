package dev.bambootray.jobs.scheduling;

import dev.bambootray.jobs.model.JobDeclaration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Holds the state shared by the parts of the scheduler; confined to the control thread. */
final class SchedulerState {
  final SchedulerTimes times;
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, WorkerState> workers = new LinkedHashMap<>();
  final TemplateStatistics statistics = new TemplateStatistics();
  final RecordBatcher batches = new RecordBatcher();
  final StepReservations reservations = new StepReservations();
  final EarlyCancellations earlyCancellations = new EarlyCancellations();

  /** Jobs covered by a guarantee in the newest round of placement. */
  GuaranteeCoverage coverage = GuaranteeCoverage.none();

  /** Tasks that start only on a worker of their own. */
  final Set<Task> suspects = new LinkedHashSet<>();

  /** Time as of which the declaration is known to be the newest one. */
  long declarationAsOfMs = JobEvent.DeclarationConfirmed.NEVER;

  private JobDeclaration declaration = new JobDeclaration(0, List.of(), Map.of(), List.of(), 0);

  /** Whether a change since the last round of placement may let a waiting step be placed. */
  boolean planWanted;

  private List<JobEffect> effects = new ArrayList<>();

  SchedulerState(SchedulerTimes times) {
    this.times = times;
  }

  JobDeclaration declaration() {
    return declaration;
  }

  /** Puts a declaration in force, and closes and opens the failure domains of the workers. */
  void setDeclaration(JobDeclaration value) {
    declaration = value;
    workers.values().forEach(this::updateDomain);
    planWanted = true;
  }

  /** Updates whether the failure domain of a worker is closed. */
  void updateDomain(WorkerState worker) {
    worker.domainClosed = declaration.closedDomains().contains(worker.entry.zone());
  }

  /**
   * Returns whether new runs may be started by the declaration: an older one may allow starts in a
   * failure domain that was closed meanwhile.
   */
  boolean isDeclarationCurrent(long nowMs) {
    return declarationAsOfMs != JobEvent.DeclarationConfirmed.NEVER
        && nowMs - declarationAsOfMs <= times.declarationMaxAgeMs();
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
