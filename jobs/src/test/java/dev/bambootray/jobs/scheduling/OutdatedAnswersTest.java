package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.ListedRun;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests answers to calls that were sent to an earlier process of a worker. */
final class OutdatedAnswersTest {
  private static final JobDeclaration DECLARATION =
      new JobDeclaration(1, List.of(), Map.of(), List.of(), 0);

  /** Clocks of the two processes; each process counts from its own start. */
  private static final long FIRST_CLOCK_MS = 1_000_000;

  private static final long SECOND_CLOCK_MS = 100;
  private static final StartReply STARTED = new StartReply.Started(SECOND_CLOCK_MS);
  private static final WorkerEntry FIRST = worker(50, "10.0.0.1:80");
  private static final WorkerEntry SECOND = worker(60, "10.0.0.1:80");

  private final JobScheduler scheduler = JobScheduler.create(SchedulerTimes.withLeaseLimit(10_000));
  private final List<JobEffect.StartRun> starts = new ArrayList<>();
  private final List<JobEffect.StopRun> stops = new ArrayList<>();
  private final List<JobEffect.HoldWorker> holds = new ArrayList<>();
  private final List<JobEffect.Persist> batches = new ArrayList<>();
  private long nowMs = 1_000;

  private static WorkerEntry worker(long bornMs, String address) {
    return new WorkerEntry(
        "w", "s", address, "zone", "rack", Set.of(), new Resources(8, 8, 8), bornMs, false);
  }

  @BeforeEach
  void takeOver() {
    handle(new JobEvent.DeclarationConfirmed(nowMs));
    handle(new JobEvent.TookOver(DECLARATION, List.of(), Map.of(), Set.of(), List.of(FIRST)));
    list(FIRST, FIRST_CLOCK_MS, List.of(), List.of(), nowMs);
  }

  private void handle(JobEvent event) {
    for (JobEffect effect : scheduler.handle(event, new EventTime(nowMs, nowMs))) {
      if (effect instanceof JobEffect.StartRun start) {
        starts.add(start);
      } else if (effect instanceof JobEffect.StopRun stop) {
        stops.add(stop);
      } else if (effect instanceof JobEffect.HoldWorker hold) {
        holds.add(hold);
      } else if (effect instanceof JobEffect.Persist batch) {
        batches.add(batch);
      }
    }
  }

  private void advance(long ms) {
    nowMs += ms;
    handle(new JobEvent.Tick());
  }

  private void list(
      WorkerEntry process, long clockMs, List<ListedRun> running, List<RunEnd> ended, long sentMs) {
    list(process, process, clockMs, running, ended, sentMs);
  }

  /** Lists the runs of a process in answer to a call that was meant for another one. */
  private void list(
      WorkerEntry process,
      WorkerEntry called,
      long clockMs,
      List<ListedRun> running,
      List<RunEnd> ended,
      long sentMs) {
    HoldReply list =
        new HoldReply.Listed(clockMs, process.bornMs(), process.bornMs(), running, ended, false);
    handle(new JobEvent.HoldAnswered(called, list, sentMs, false));
  }

  /** Submits a job of one task and returns its start order. */
  private JobEffect.StartRun start(String job) {
    handle(
        new JobEvent.Accepted(
            new JobSpec(
                job,
                "ws",
                "t",
                "s",
                "p",
                List.of(StepSpec.builder(1, new Resources(1, 1, 1)).estimateMs(1_000).build()),
                new JobSpec.Objective(1, 3, 3, 1_000),
                JobSpec.Schedule.ONCE,
                1)));
    storeBatches();
    return starts.get(starts.size() - 1);
  }

  private void storeBatches() {
    while (!batches.isEmpty()) {
      handle(new JobEvent.Durable(batches.remove(0).batch()));
    }
  }

  /** Starts a run at the first process and lets the owner learn of the second one. */
  private JobEffect.StartRun startAndRestart() {
    JobEffect.StartRun order = start("j");
    handle(new JobEvent.StartAnswered(order.worker(), order.run(), STARTED));
    nowMs += 10;
    handle(new JobEvent.WorkerListed(SECOND));
    return order;
  }

  @Nested
  final class Stops {
    @Test
    void areConfirmedByTheKnownProcessOnly() {
      JobEffect.StartRun order = start("j");
      handle(new JobEvent.StartAnswered(order.worker(), order.run(), STARTED));
      handle(new JobEvent.CancelRequested("j"));
      JobEffect.StopRun first = stops.get(0);
      nowMs += 10;
      handle(new JobEvent.WorkerListed(SECOND));
      handle(new JobEvent.StopAnswered(first.worker(), first.run(), true));
      nowMs += 10;
      list(SECOND, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      assertEquals(1, scheduler.load().runs());
      advance(500);
      assertEquals(SECOND.bornMs(), stops.get(stops.size() - 1).worker().bornMs());
      handle(new JobEvent.StopAnswered(SECOND, first.run(), true));
      nowMs += 10;
      list(SECOND, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      assertEquals(0, scheduler.load().runs());
    }
  }

  @Nested
  final class Clocks {
    /** Leases by the clock of the previous process last longer than the owner assumes. */
    @Test
    void areThoseOfTheKnownProcess() {
      JobEffect.StartRun order = start("j");
      nowMs += 10;
      handle(new JobEvent.WorkerListed(SECOND));
      nowMs += 10;
      list(SECOND, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      handle(
          new JobEvent.StartAnswered(
              order.worker(), order.run(), new StartReply.Started(FIRST_CLOCK_MS)));
      JobEffect.StartRun next = start("k");
      assertTrue(next.untilMs() < SECOND_CLOCK_MS + 10_000, () -> "until " + next.untilMs());
    }
  }

  @Nested
  final class RefusalsAtAFormerAddress {
    private static final WorkerEntry MOVED = worker(60, "10.0.0.2:80");

    @Test
    void ofAListKeepTheRuns() {
      startAndMove();
      handle(new JobEvent.HoldAnswered(FIRST, new HoldReply.WorkerRestarted(), 1_000, false));
      assertEquals(1, scheduler.load().runs());
    }

    @Test
    void ofAStartKeepTheOtherRuns() {
      JobEffect.StartRun late = startAndMove();
      handle(new JobEvent.StartAnswered(FIRST, late.run(), new StartReply.WorkerRestarted()));
      assertEquals(1, scheduler.load().runs());
    }

    /** The registry may show an entry of a process that ended before the owner took over. */
    @Test
    void thatALateEntryNamesKeepTheRuns() {
      startAndMove();
      RunName run = starts.get(starts.size() - 1).run();
      handle(new JobEvent.WorkerListed(worker(45, FIRST.address())));
      HoldReply refreshed =
          new HoldReply.Listed(
              SECOND_CLOCK_MS + 20, MOVED.bornMs(), 1, List.of(running(run)), List.of(), false);
      handle(new JobEvent.HoldAnswered(MOVED, refreshed, nowMs, true));
      list(MOVED, SECOND_CLOCK_MS + 20, List.of(running(run)), List.of(), nowMs);
      JobEffect.HoldWorker hold = holds.get(holds.size() - 1);
      assertEquals(FIRST.address(), hold.worker().address());
      refuse(hold);
      assertEquals(1, scheduler.load().runs());
      handle(new JobEvent.WorkerListed(MOVED));
      advance(500);
      hold = holds.get(holds.size() - 1);
      assertEquals(MOVED.address(), hold.worker().address());
    }

    /** The clock of the machine went back, so that the entry seems to announce a restart. */
    @Test
    void thatALateEntryWithALaterStartNamesKeepTheRuns() {
      WorkerEntry moved = worker(40, "10.0.0.2:80");
      list(moved, FIRST, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      handle(new JobEvent.WorkerListed(moved));
      JobEffect.StartRun order = start("j");
      handle(new JobEvent.StartAnswered(order.worker(), order.run(), STARTED));
      holds.clear();
      handle(new JobEvent.WorkerListed(FIRST));
      List.copyOf(holds).stream()
          .filter(hold -> hold.worker().address().equals(FIRST.address()))
          .forEach(this::refuse);
      assertEquals(1, scheduler.load().runs());
    }

    /** Guards against ignoring the entries of a process that only an invalid entry replaced. */
    @Test
    void thatAnInvalidEntryNamesAreForgottenWithTheNextEntry() {
      handle(new JobEvent.WorkerListed(worker(70, "10.0.0.9:80")));
      JobEffect.HoldWorker astray = holds.get(holds.size() - 1);
      handle(new JobEvent.WorkerListed(FIRST));
      HoldReply silent = new HoldReply.Failed("no answer");
      handle(new JobEvent.HoldAnswered(astray.worker(), silent, nowMs, false));
      advance(500);
      assertEquals(FIRST.address(), holds.get(holds.size() - 1).worker().address());
    }

    private void refuse(JobEffect.HoldWorker hold) {
      handle(
          new JobEvent.HoldAnswered(hold.worker(), new HoldReply.WorkerRestarted(), nowMs, false));
    }

    /** Lets the worker return at another address, where it runs a task. */
    private JobEffect.StartRun startAndMove() {
      JobEffect.StartRun first = start("j");
      nowMs += 10;
      handle(new JobEvent.WorkerListed(MOVED));
      nowMs += 10;
      list(MOVED, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      JobEffect.StartRun second = start("k");
      handle(new JobEvent.StartAnswered(second.worker(), second.run(), STARTED));
      handle(new JobEvent.CancelRequested("j"));
      handle(new JobEvent.StopAnswered(MOVED, first.run(), true));
      nowMs += 10;
      list(MOVED, SECOND_CLOCK_MS, List.of(running(second.run())), List.of(), nowMs);
      assertEquals(1, scheduler.load().runs());
      return first;
    }
  }

  @Nested
  final class RefusalsAtTheKnownAddress {
    @Test
    void endTheUseOfAWorkerUntilItsEntryChanges() {
      JobEffect.StartRun order = start("j");
      handle(new JobEvent.StartAnswered(order.worker(), order.run(), STARTED));
      handle(new JobEvent.HoldAnswered(FIRST, new HoldReply.WorkerRestarted(), nowMs, false));
      storeBatches();
      assertEquals(0, scheduler.load().runs());
      holds.clear();
      advance(5_000);
      assertEquals(List.of(), holds);
      handle(new JobEvent.DeclarationConfirmed(nowMs));
      handle(new JobEvent.WorkerListed(SECOND));
      advance(0);
      assertEquals(SECOND.bornMs(), holds.get(0).worker().bornMs());
      list(SECOND, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      storeBatches();
      assertEquals(2, starts.get(starts.size() - 1).run().run());
    }
  }

  /** The wall clock of the machine went back between the starts of the two processes. */
  @Nested
  final class ListsOfAProcessWithALaterStart {
    private static final WorkerEntry EARLIER = worker(40, "10.0.0.1:80");

    @Test
    void areIgnored() {
      long sentMs = nowMs;
      JobEffect.StartRun order = start("j");
      nowMs += 10;
      list(EARLIER, FIRST, SECOND_CLOCK_MS, List.of(running(order.run())), List.of(), nowMs);
      nowMs += 10;
      holds.clear();
      RunEnd end = new RunEnd(7, new RunName(order.run().task(), 9), RunEnd.Cause.DONE, "");
      list(FIRST, FIRST_CLOCK_MS, List.of(), List.of(end), sentMs);
      storeBatches();
      advance(1_000);
      assertTrue(holds.stream().allMatch(hold -> hold.acknowledged() == 0), holds::toString);
      assertTrue(
          holds.stream().allMatch(hold -> hold.worker().bornMs() == EARLIER.bornMs()),
          holds::toString);
      assertEquals(1, scheduler.load().runs());
    }

    @Test
    void doNotHideARestartThatTheRegistryShows() {
      holds.clear();
      nowMs += 10;
      handle(new JobEvent.WorkerListed(EARLIER));
      assertEquals(1, holds.size());
    }
  }

  @Nested
  final class FailedCalls {
    @Test
    void toThePreviousProcessDoNotMakeTheNextOneSilent() {
      startAndRestart();
      nowMs += 10;
      list(SECOND, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      handle(new JobEvent.HoldAnswered(FIRST, new HoldReply.Failed("closed"), 1_000, false));
      int before = starts.size();
      start("k");
      assertTrue(starts.size() > before, scheduler::describe);
    }
  }

  @Nested
  final class Orders {
    /** An order that got no answer may be carried out by the next process. */
    @Test
    void thatGotNoAnswerAreStoppedBeforeTheTaskIsPlacedAgain() {
      JobEffect.StartRun order = start("j");
      handle(
          new JobEvent.StartAnswered(
              order.worker(), order.run(), new StartReply.Unknown("no answer")));
      nowMs += 10;
      list(FIRST, FIRST_CLOCK_MS, List.of(running(order.run())), List.of(), nowMs);
      nowMs += 10;
      handle(new JobEvent.WorkerListed(SECOND));
      nowMs += 10;
      list(SECOND, SECOND_CLOCK_MS, List.of(), List.of(), nowMs);
      storeBatches();
      assertEquals(List.of(order.run()), stops.stream().map(JobEffect.StopRun::run).toList());
      assertEquals(1, order.run().run());
      assertTrue(starts.stream().allMatch(start -> start.run().run() == 1), starts::toString);
    }
  }

  private static ListedRun running(RunName run) {
    return new ListedRun(run, "", 1);
  }
}
