package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.model.TaskRecord;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.ListedRun;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Checks that no run is started in a closed failure domain, on any way that leads to a start. */
final class ClosedDomainTest {
  private static final long MAX_AGE_MS = 4_500;
  private static final JobDeclaration OPEN =
      new JobDeclaration(1, List.of(), Map.of(), List.of(), 0);

  private final JobScheduler scheduler =
      JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000).withDeclarationMaxAge(MAX_AGE_MS));
  private final List<JobEffect.StartRun> starts = new ArrayList<>();
  private final List<JobEffect.StopRun> stops = new ArrayList<>();
  private final List<JobEffect.Persist> batches = new ArrayList<>();
  private long nowMs = 1_000;

  private static WorkerEntry worker(String domain) {
    return new WorkerEntry(
        "w-" + domain,
        "s",
        "10.0.0.1:80",
        domain,
        "rack-" + domain,
        Set.of(),
        new Resources(8, 8, 8),
        1,
        false);
  }

  private static JobSpec job(String id, int tasks, int accelerators, boolean gang) {
    return new JobSpec(
        id,
        "ws",
        "t",
        "s",
        "p",
        List.of(
            StepSpec.builder(tasks, new Resources(accelerators, 1, 1))
                .estimateMs(1_000)
                .gang(gang)
                .build()),
        new JobSpec.Objective(1, 3, 3, 1_000),
        JobSpec.Schedule.ONCE,
        1);
  }

  private void handle(JobEvent event) {
    for (JobEffect effect : scheduler.handle(event, new EventTime(nowMs, nowMs))) {
      if (effect instanceof JobEffect.StartRun start) {
        starts.add(start);
      } else if (effect instanceof JobEffect.StopRun stop) {
        stops.add(stop);
      } else if (effect instanceof JobEffect.Persist batch) {
        batches.add(batch);
      }
    }
  }

  private void confirm() {
    handle(new JobEvent.DeclarationConfirmed(nowMs));
  }

  private void close(String... domains) {
    handle(new JobEvent.DeclarationChanged(OPEN.withClosedDomains(Set.of(domains))));
  }

  private void storeBatches() {
    while (!batches.isEmpty()) {
      handle(new JobEvent.Durable(batches.remove(0).batch()));
    }
  }

  private void takeOver(JobDeclaration declaration, String... domains) {
    confirm();
    takeOver(declaration, Map.of(), List.of(), domains);
  }

  private void takeOver(
      JobDeclaration declaration,
      Map<String, JobRecord> records,
      List<JobSpec> jobs,
      String... domains) {
    List<WorkerEntry> workers = List.of(domains).stream().map(ClosedDomainTest::worker).toList();
    handle(new JobEvent.TookOver(declaration, jobs, records, Set.of(), workers));
    workers.forEach(worker -> list(worker, List.of()));
  }

  private void list(WorkerEntry worker, List<ListedRun> running) {
    handle(
        new JobEvent.HoldAnswered(
            worker, new HoldReply.Listed(nowMs, 1, 1, running, List.of(), false), nowMs, false));
  }

  private void submit(String id, int tasks, int accelerators, boolean gang) {
    handle(new JobEvent.Accepted(job(id, tasks, accelerators, gang)));
  }

  private List<String> startedAt() {
    return starts.stream().map(start -> start.worker().id()).distinct().sorted().toList();
  }

  private void advance(long ms) {
    nowMs += ms;
    handle(new JobEvent.Tick());
  }

  @Nested
  final class Placement {
    @Test
    void usesOpenDomainsOnly() {
      takeOver(OPEN.withClosedDomains(Set.of("a")), "a", "b");
      submit("j", 12, 1, false);
      storeBatches();
      assertEquals(List.of("w-b"), startedAt());
      assertEquals(8, starts.size());
    }

    @Test
    void continuesWhenADomainIsOpened() {
      takeOver(OPEN.withClosedDomains(Set.of("a")), "a");
      submit("j", 1, 1, false);
      storeBatches();
      assertEquals(List.of(), startedAt());
      close();
      storeBatches();
      assertEquals(List.of("w-a"), startedAt());
    }

    @Test
    void keepsAcceptedJobsWhileAllDomainsAreClosed() {
      takeOver(OPEN, "a", "b");
      close("a", "b");
      submit("j", 1, 1, false);
      advance(60_000);
      assertEquals(List.of(), startedAt());
      confirm();
      close("b");
      storeBatches();
      assertEquals(List.of("w-a"), startedAt());
    }

    @Test
    void excludesWorkersThatAreListedLater() {
      takeOver(OPEN.withClosedDomains(Set.of("a")), "b");
      handle(new JobEvent.WorkerListed(worker("a")));
      list(worker("a"), List.of());
      submit("j", 12, 1, false);
      storeBatches();
      assertEquals(List.of("w-b"), startedAt());
    }

    @Test
    void excludesAWorkerThatMovesIntoAClosedDomain() {
      takeOver(OPEN.withClosedDomains(Set.of("a")), "b");
      WorkerEntry before = worker("b");
      handle(
          new JobEvent.WorkerListed(
              new WorkerEntry(
                  before.id(),
                  before.service(),
                  before.address(),
                  "a",
                  before.rack(),
                  before.labels(),
                  before.capacity(),
                  before.bornMs(),
                  false)));
      submit("j", 1, 1, false);
      storeBatches();
      assertEquals(List.of(), startedAt());
    }
  }

  @Nested
  final class DecisionsInFlight {
    @Test
    void aDecisionThatIsStoredAfterTheClosureIsNotCarriedOut() {
      takeOver(OPEN, "a");
      submit("j", 1, 1, false);
      close("a");
      storeBatches();
      assertEquals(List.of(), startedAt());
    }

    @Test
    void aGangOfWhichAPartIsClosedMovesAsAWhole() {
      takeOver(OPEN, "a", "b", "c", "d");
      submit("j", 2, 8, true);
      close("a", "b");
      storeBatches();
      assertEquals(List.of("w-c", "w-d"), startedAt());
    }

    @Test
    void anUnansweredStartIsNotRepeated() {
      takeOver(OPEN, "a", "b");
      submit("j", 1, 1, false);
      storeBatches();
      JobEffect.StartRun first = starts.get(0);
      close(first.worker().zone());
      nowMs += 300;
      handle(
          new JobEvent.StartAnswered(
              first.worker(), first.run(), new StartReply.Unknown("no answer")));
      assertEquals(1, starts.size());
      assertEquals(List.of(first.run()), stops.stream().map(JobEffect.StopRun::run).toList());
    }

    @Test
    void runsInAClosedDomainContinue() {
      takeOver(OPEN, "a", "b");
      submit("j", 1, 1, false);
      storeBatches();
      JobEffect.StartRun first = starts.get(0);
      handle(
          new JobEvent.StartAnswered(first.worker(), first.run(), new StartReply.Started(nowMs)));
      close(first.worker().zone());
      advance(1_000);
      assertEquals(List.of(), stops);
      assertEquals(1, scheduler.load().runsInClosedDomains());
    }

    @Test
    void aDecisionOfTheOwnerBeforeIsNotCarriedOutAgain() {
      RunName run = new RunName(new TaskName("j", 0, 0, 0), 1);
      JobRecord record =
          new JobRecord(
              "j",
              JobPhase.QUEUED,
              0,
              List.of(new TaskRecord(TaskRecord.State.PLACED, run.run(), 0, "w-a", "")));
      confirm();
      takeOver(
          OPEN.withClosedDomains(Set.of("a")),
          Map.of("j", record),
          List.of(job("j", 1, 1, false)),
          "a",
          "b");
      nowMs += 10;
      list(worker("a"), List.of());
      assertEquals(List.of(), startedAt());
      nowMs += SchedulerTimes.ORDER_TIMEOUT_MS;
      list(worker("a"), List.of());
      storeBatches();
      assertEquals(List.of("w-b"), startedAt());
    }
  }

  /** An owner that may not know of a closure must not start anything. */
  @Nested
  final class OutdatedDeclaration {
    @Test
    void nothingStartsBeforeTheFirstConfirmation() {
      takeOver(OPEN, Map.of(), List.of(), "a");
      submit("j", 1, 1, false);
      advance(200);
      storeBatches();
      assertEquals(List.of(), startedAt());
      confirm();
      storeBatches();
      assertEquals(List.of("w-a"), startedAt());
    }

    @Test
    void nothingIsPlacedWhenTheConfirmationIsTooOld() {
      takeOver(OPEN, "a");
      advance(MAX_AGE_MS + 1);
      submit("j", 1, 1, false);
      storeBatches();
      assertEquals(List.of(), startedAt());
      confirm();
      storeBatches();
      assertEquals(List.of("w-a"), startedAt());
    }

    @Test
    void aDecisionThatOutlivesTheConfirmationIsNotCarriedOut() {
      takeOver(OPEN, "a");
      nowMs += MAX_AGE_MS;
      submit("j", 1, 1, false);
      nowMs += 1;
      storeBatches();
      assertEquals(List.of(), startedAt());
    }

    @Test
    void anUnansweredStartIsNotRepeated() {
      takeOver(OPEN, "a");
      submit("j", 1, 1, false);
      storeBatches();
      handle(new JobEvent.DeclarationConfirmed(JobEvent.DeclarationConfirmed.NEVER));
      nowMs += 300;
      handle(
          new JobEvent.StartAnswered(
              worker("a"), starts.get(0).run(), new StartReply.Unknown("no answer")));
      assertEquals(1, starts.size());
    }

    @Test
    void aPausedOwnerStartsNothingUntilItHasReadTheDeclarationAgain() {
      takeOver(OPEN, "a", "b");
      submit("j", 1, 1, false);
      handle(new JobEvent.DeclarationConfirmed(JobEvent.DeclarationConfirmed.NEVER));
      storeBatches();
      assertEquals(List.of(), startedAt());
      close("a");
      confirm();
      storeBatches();
      assertEquals(List.of("w-b"), startedAt());
    }
  }
}
