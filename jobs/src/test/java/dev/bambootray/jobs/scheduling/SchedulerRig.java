package dev.bambootray.jobs.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobDeclaration.Workspace;
import dev.bambootray.jobs.model.JobPhase;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.HoldReply;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.RunEnd.Cause;
import dev.bambootray.jobs.worker.StartReply;
import dev.bambootray.jobs.worker.StartReply.Reason;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Drives a scheduler against workers and a store in memory, in virtual time. It checks at the
 * workers that no task runs twice, that no worker is overfull and that no finished task starts
 * again.
 */
final class SchedulerRig implements FakeWorker.Pool {
  private static final long STEP_MS = 10;

  /** Time after a fault within which the platform's rules for calm machines do not hold. */
  private static final long NEAR_FAULT_MS = 4_000;

  private static final long WAY_MS = 20;
  private static final long CALL_TIMEOUT_MS = 700;
  private static final long WALL_OFFSET_MS = 1_700_000_000_000L;

  private record Due(long atMs, long order, Runnable action) {}

  private final Random random;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs() != b.atMs()
                  ? Long.compare(a.atMs(), b.atMs())
                  : Long.compare(a.order(), b.order()));
  final Map<String, FakeWorker> workers = new LinkedHashMap<>();
  final Map<String, JobSpec> jobs = new LinkedHashMap<>();
  final Map<String, JobRecord> records = new HashMap<>();
  final Set<String> cancelled = new HashSet<>();
  private final Map<String, Long> workMs = new HashMap<>();
  private final Set<String> poison = new HashSet<>();
  private final Map<TaskName, Integer> noted = new HashMap<>();
  private final Map<String, Long> finishedMs = new HashMap<>();
  final List<String> decisions = new ArrayList<>();
  final Map<TaskName, Long> firstStartMs = new HashMap<>();
  private JobDeclaration declaration = new JobDeclaration(1, List.of(), Map.of(), List.of(), 1_000);
  private JobScheduler scheduler;
  private long epoch;
  private long order;
  private long storeAwayUntilMs;

  /** Share of calls to workers whose answer is lost, and that are carried out late. */
  double lateShare;

  /** Longest additional time that the list of a worker is on its way. */
  int listDelayMs;

  long nowMs = 1_000;
  int starts;

  /** When a call was last lost or a worker out of reach. */
  private long lastFaultMs = Long.MIN_VALUE / 2;

  SchedulerRig(long seed) {
    random = new Random(seed);
  }

  SchedulerRig workers(int count, int perRack, Resources capacity) {
    for (int i = 0; i < count; i++) {
      String id = "w" + workers.size();
      workers.put(id, new FakeWorker(id, "rack" + workers.size() / perRack, capacity, this));
    }
    return this;
  }

  SchedulerRig guarantee(String workspace, int accelerators) {
    declaration =
        new JobDeclaration(
            2,
            List.of(),
            Map.of(),
            List.of(new Workspace(workspace, List.of(), accelerators)),
            1_000);
    return this;
  }

  /** Makes this node the owner, with what is in the store. */
  void takeOver() {
    epoch++;
    scheduler = JobScheduler.create(JobTimes.within(10_000));
    List<dev.bambootray.jobs.worker.WorkerEntry> listed =
        workers.values().stream().filter(w -> !w.gone).map(w -> w.entry).toList();
    post(
        new JobEvent.TookOver(declaration, List.copyOf(jobs.values()), records, cancelled, listed));
  }

  void storeAway(long forMs) {
    storeAwayUntilMs = nowMs + forMs;
  }

  void submit(String id, int priority, long taskMs, StepSpec... steps) {
    JobSpec job =
        new JobSpec(
            id,
            "ws",
            "p" + priority,
            "s",
            "payload",
            List.of(steps),
            new JobSpec.Objective(priority, 2, 3.0, 1_000),
            JobSpec.Schedule.ONCE,
            WALL_OFFSET_MS + nowMs);
    jobs.put(id, job);
    workMs.put(id, taskMs);
    post(new JobEvent.Accepted(job));
  }

  void submitPoison(String id, StepSpec step) {
    poison.add(id);
    submit(id, 1, 500, step);
  }

  void cancel(String id) {
    cancelled.add(id);
    post(new JobEvent.CancelRequested(id));
  }

  /** Takes a worker away; it leaves the list at once. */
  void remove(String id) {
    worker(id).vanish();
    post(new JobEvent.WorkerUnlisted(id));
  }

  FakeWorker worker(String id) {
    FakeWorker found = workers.get(id);
    assertTrue(found != null, "no worker " + id);
    return found;
  }

  void run(long forMs) {
    long endMs = nowMs + forMs;
    while (nowMs < endMs) {
      long from = nowMs;
      nowMs += STEP_MS;
      for (FakeWorker worker : workers.values()) {
        worker.advance(from, nowMs, this::present);
      }
      while (!due.isEmpty() && due.peek().atMs() <= nowMs) {
        due.remove().action().run();
      }
      if (nowMs % 50 == 0) {
        post(new JobEvent.Tick());
      }
    }
  }

  JobPhase phase(String job) {
    JobRecord saved = records.get(job);
    return saved == null ? JobPhase.QUEUED : saved.phase();
  }

  /** Returns how long a job took, or a large number if it is not final. */
  long tookMs(String job) {
    JobSpec spec = jobs.get(job);
    assertTrue(spec != null, "no job " + job);
    return finishedMs.getOrDefault(job, Long.MAX_VALUE / 4)
        - (spec.acceptedWallMs() - WALL_OFFSET_MS);
  }

  void assertAllFinal() {
    for (String job : jobs.keySet()) {
      assertTrue(
          phase(job).isFinal(),
          () -> job + " is " + phase(job) + " at " + nowMs + dump(job) + "\n" + pool());
    }
  }

  long completed() {
    return jobs.keySet().stream().filter(job -> phase(job) == JobPhase.COMPLETED).count();
  }

  private void post(JobEvent event) {
    for (JobEffect effect : scheduler.handle(event, new Now(nowMs, WALL_OFFSET_MS + nowMs))) {
      carryOut(effect);
    }
  }

  private void later(long delayMs, Runnable action) {
    due.add(new Due(nowMs + delayMs, order++, action));
  }

  /** Posts an event to the owner that sent the call, if it still is the owner. */
  private void answer(long sentEpoch, JobEvent event) {
    if (sentEpoch == epoch) {
      post(event);
    }
  }

  private void carryOut(JobEffect effect) {
    long sentEpoch = epoch;
    if (effect instanceof JobEffect.Persist persist) {
      later(Math.max(30, storeAwayUntilMs - nowMs), () -> persist(persist, sentEpoch));
    } else if (effect instanceof JobEffect.StartRun start) {
      later(WAY_MS, () -> start(start, sentEpoch));
    } else if (effect instanceof JobEffect.StopRun stop) {
      later(WAY_MS, () -> stop(stop, sentEpoch));
    } else if (effect instanceof JobEffect.HoldWorker hold) {
      long sentMs = nowMs;
      later(WAY_MS, () -> hold(hold, sentEpoch, sentMs, nowMs + hold.waitMs()));
    } else if (effect instanceof JobEffect.Decided decided) {
      decisions.add(nowMs + " " + decided.subject() + " " + decided.text());
    }
  }

  private void persist(JobEffect.Persist persist, long sentEpoch) {
    if (sentEpoch != epoch) {
      return;
    }
    for (JobRecord saved : persist.records()) {
      JobRecord before = records.put(saved.job(), saved);
      if (saved.phase().isFinal() && (before == null || !before.phase().isFinal())) {
        finishedMs.put(saved.job(), nowMs);
      }
    }
    answer(sentEpoch, new JobEvent.Durable(persist.batch()));
  }

  private boolean isUnreachable(String worker) {
    FakeWorker target = workers.get(worker);
    boolean unreachable = target == null || target.cut || target.gone;
    lastFaultMs = unreachable ? nowMs : lastFaultMs;
    return unreachable;
  }

  private boolean isLate() {
    boolean late = random.nextDouble() < lateShare;
    lastFaultMs = late ? nowMs : lastFaultMs;
    return late;
  }

  private void start(JobEffect.StartRun start, long sentEpoch) {
    String id = start.worker().id();
    if (isUnreachable(id)) {
      later(
          CALL_TIMEOUT_MS,
          () ->
              answer(
                  sentEpoch,
                  new JobEvent.StartAnswered(id, start.run(), new StartReply.Unknown("silent"))));
      return;
    }
    if (isLate()) {
      later(
          2_000 + random.nextInt(8_000),
          () -> worker(id).start(start.run(), start.untilMs(), sentEpoch, nowMs));
      later(
          CALL_TIMEOUT_MS,
          () ->
              answer(
                  sentEpoch,
                  new JobEvent.StartAnswered(id, start.run(), new StartReply.Unknown("late"))));
      return;
    }
    StartReply reply = worker(id).start(start.run(), start.untilMs(), sentEpoch, nowMs);
    assertTrue(
        !(reply instanceof StartReply.Refused refused && refused.reason() == Reason.NO_ROOM),
        () -> "no room for " + start.run() + " at " + id);
    later(WAY_MS, () -> answer(sentEpoch, new JobEvent.StartAnswered(id, start.run(), reply)));
  }

  private void stop(JobEffect.StopRun stop, long sentEpoch) {
    String id = stop.worker().id();
    boolean confirmed =
        !isUnreachable(id) && !isLate() && worker(id).stop(stop.run(), sentEpoch, nowMs);
    later(
        confirmed ? WAY_MS : CALL_TIMEOUT_MS,
        () -> answer(sentEpoch, new JobEvent.StopAnswered(id, stop.run(), confirmed)));
  }

  private void hold(JobEffect.HoldWorker hold, long sentEpoch, long sentMs, long waitUntilMs) {
    String id = hold.worker().id();
    if (isUnreachable(id)) {
      HoldReply silent = new HoldReply.Failed("silent");
      later(
          CALL_TIMEOUT_MS,
          () -> answer(sentEpoch, new JobEvent.HoldAnswered(id, silent, sentMs, hold.look())));
      return;
    }
    FakeWorker worker = worker(id);
    note(worker, hold.acknowledged());
    HoldReply reply = worker.hold(hold.acknowledged(), hold.untilMs(), sentEpoch, nowMs);
    boolean ended = reply instanceof HoldReply.Listed listed && !listed.ended().isEmpty();
    if (!ended && nowMs < waitUntilMs) {
      later(STEP_MS, () -> hold(hold, sentEpoch, sentMs, waitUntilMs));
      return;
    }
    long wayMs = WAY_MS + (listDelayMs == 0 ? 0 : random.nextInt(listDelayMs));
    later(
        wayMs, () -> answer(sentEpoch, new JobEvent.HoldAnswered(id, reply, sentMs, hold.look())));
  }

  /** Notes the ends that the worker may forget; they stand for good. */
  private void note(FakeWorker worker, long acknowledged) {
    worker.acknowledged(acknowledged).stream()
        .filter(end -> end.cause() == Cause.DONE)
        .forEach(end -> noted.putIfAbsent(end.run().task(), end.run().run()));
  }

  private int present(RunName run) {
    return (int)
        workers.values().stream()
            .flatMap(worker -> worker.runs.keySet().stream())
            .filter(other -> other.run() == run.run())
            .filter(
                other ->
                    other.task().job().equals(run.task().job())
                        && other.task().step() == run.task().step())
            .count();
  }

  @Override
  public FakeWorker.StepRunSize size(TaskName task) {
    JobSpec job = jobs.get(task.job());
    assertTrue(job != null, () -> "a run of a job that nobody submitted: " + task);
    StepSpec step = job.steps().get(task.step());
    long work = workMs.getOrDefault(task.job(), 1_000L);
    int members = step.gang() ? step.count() : 1;
    return new FakeWorker.StepRunSize(
        step.each(), members, work, poison.contains(task.job()), work);
  }

  @Override
  public void onStart(FakeWorker worker, RunName run) {
    starts++;
    firstStartMs.putIfAbsent(run.task(), nowMs);
    Resources free = worker.free();
    assertTrue(
        free.accelerators() >= 0 && free.millicores() >= 0 && free.memoryMib() >= 0,
        () -> worker.entry.id() + " is overfull at " + nowMs);
    for (FakeWorker other : workers.values()) {
      long same =
          other.runs.keySet().stream().filter(running -> running.task().equals(run.task())).count();
      assertEquals(
          other == worker ? 1 : 0, same, () -> run + " runs twice at " + nowMs + dump(run));
    }
    Integer done = noted.get(run.task());
    assertTrue(done == null, () -> run + " starts after run " + done + " was done" + dump(run));
  }

  @Override
  public void onEnd(FakeWorker worker, RunEnd end) {
    // A trace showed members whose stop was lost as well: the platform allows that near a fault.
    assertTrue(
        end.cause() != Cause.ALONE || nowMs - lastFaultMs < NEAR_FAULT_MS,
        () -> end.run() + " waited in vain for its gang" + dump(end.run()));
  }

  private String dump(RunName run) {
    return dump(run.task().job());
  }

  private String dump(String job) {
    return "\n"
        + String.join(
            "\n", decisions.stream().filter(line -> line.contains(" " + job + " ")).toList());
  }

  private String pool() {
    StringBuilder text = new StringBuilder();
    workers.forEach(
        (id, worker) ->
            text.append(id)
                .append(worker.gone ? " gone" : "")
                .append(worker.cut ? " cut" : "")
                .append(" ")
                .append(worker.runs.keySet())
                .append("\n"));
    return text.append(scheduler.describe()).toString();
  }
}
