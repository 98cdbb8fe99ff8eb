package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Drives every attempt through reserve, confirm, start and release, so that all members of a gang
 * run or none does.
 */
final class GangLifecycle {
  /** Time without an answer to a reservation or a start after which the gang is released. */
  static final long PHASE_TIMEOUT_MS = 2_000;

  /** Limit on recording an intent; long enough to outlast a short outage of the store. */
  static final long CONFIRM_TIMEOUT_MS = 10_000;

  private final WorkerPool pool;
  private final EffectBuffer effects;
  private final GangListener listener;
  private final MemberRelease releases;
  private final Map<TaskId, Member> members = new HashMap<>();
  private final Map<AttemptToken, Gang> gangs = new HashMap<>();

  /** Gangs that wait for a worker or the store and can therefore time out. */
  private final Set<Gang> pending = new ReferenceLinkedOpenHashSet<>();

  GangLifecycle(WorkerPool pool, EffectBuffer effects, GangListener listener) {
    this.pool = pool;
    this.effects = effects;
    this.listener = listener;
    this.releases = new MemberRelease(effects);
  }

  /** Grants the ranges to a new attempt and requests their reservation from the workers. */
  Gang begin(
      Job job,
      AttemptToken token,
      List<AcceleratorRange> ranges,
      GrantKind kind,
      @Nullable GuaranteedCell cell,
      long nowMs) {
    Gang gang = new Gang(job, token, ranges.size(), kind, cell);
    register(gang);
    for (int i = 0; i < ranges.size(); i++) {
      AcceleratorRange range = ranges.get(i);
      Member member = add(gang, new TaskId(token, i), range.worker(), range.first());
      effects.add(
          new SchedulerEffect.ReserveMember(
              member.task,
              job.key(),
              range.worker().id,
              gang.memberCount,
              range.first(),
              member.resources));
    }
    enter(gang, Gang.Step.RESERVING, nowMs);
    return gang;
  }

  /** Registers a gang as the current one of its job. */
  void register(Gang gang) {
    gang.job.gang = gang;
    gangs.put(gang.token, gang);
    if (gang.cell != null) {
      gang.cell.gangs.add(gang);
    }
  }

  /** Registers a gang that an earlier owner started. */
  void registerAdopted(Gang gang, long nowMs) {
    register(gang);
    enter(gang, Gang.Step.ADOPTING, nowMs);
  }

  /** Revokes the grant of a member that its worker does not know. */
  void dropMember(Member member) {
    setGone(member);
  }

  /** Releases a member that its gang no longer waits for. */
  void releaseLate(Member member, long nowMs) {
    releases.release(member, false, nowMs);
    completeDrainIfReleased(member.gang, nowMs);
  }

  /** Adds a member to a gang and grants its resources. */
  Member add(Gang gang, TaskId task, PoolWorker worker, int first) {
    Member member = new Member(gang, task, worker, first, gang.job.resourcesPerMember());
    gang.members.add(member);
    members.put(task, member);
    pool.grant(member);
    return member;
  }

  @Nullable Gang find(AttemptToken token) {
    return gangs.get(token);
  }

  @Nullable Member find(TaskId task) {
    return members.get(task);
  }

  void memberReserved(TaskId task, long nowMs) {
    Member member = members.get(task);
    if (member == null || member.phase != Member.Phase.RESERVING) {
      return;
    }
    member.phase = Member.Phase.RESERVED;
    Gang gang = member.gang;
    if (gang.step == Gang.Step.RESERVING && gang.allMembersIn(Member.Phase.RESERVED)) {
      enter(gang, Gang.Step.CONFIRMING, nowMs);
      effects.add(
          new SchedulerEffect.AttemptReserved(
              gang.job.key(), gang.token, gang.members.stream().map(m -> m.worker.id).toList()));
    }
  }

  void confirmed(AttemptToken token, long nowMs) {
    Gang gang = gangs.get(token);
    if (gang == null || gang.step != Gang.Step.CONFIRMING) {
      return;
    }
    gang.startSent = true;
    enter(gang, Gang.Step.STARTING, nowMs);
    List<String> checkpoints = gang.job.checkpoints;
    for (Member member : gang.members) {
      member.phase = Member.Phase.STARTING;
      String checkpoint = checkpoints == null ? null : checkpoints.get(member.task.member());
      effects.add(
          new SchedulerEffect.StartMember(
              member.task, gang.job.key(), member.worker.id, checkpoint));
    }
  }

  void rejected(AttemptToken token, long nowMs) {
    Gang gang = gangs.get(token);
    if (gang != null && gang.step == Gang.Step.CONFIRMING) {
      gang.job.notBeforeMs = nowMs + PHASE_TIMEOUT_MS;
      end(gang, EndCause.REFUSED, "the intent could not be recorded", nowMs);
    }
  }

  void memberStarted(TaskId task, long nowMs) {
    Member member = members.get(task);
    if (member == null || member.phase != Member.Phase.STARTING) {
      return;
    }
    member.phase = Member.Phase.RUNNING;
    enterRunningIfComplete(member.gang, nowMs);
  }

  /** Enters the running step once every member runs or has already finished. */
  void enterRunningIfComplete(Gang gang, long nowMs) {
    boolean whole =
        gang.members.size() == gang.memberCount
            && gang.members.stream()
                .allMatch(m -> m.phase == Member.Phase.RUNNING || m.phase == Member.Phase.FINISHED);
    if (!whole || (gang.step != Gang.Step.STARTING && gang.step != Gang.Step.ADOPTING)) {
      return;
    }
    enter(gang, Gang.Step.RUNNING, nowMs);
    gang.runningSinceMs = nowMs;
    effects.add(new SchedulerEffect.JobStarted(gang.job.key(), gang.token));
    listener.started(gang, nowMs);
  }

  void finished(TaskId task, String resultJson, long nowMs) {
    Member member = members.get(task);
    if (member == null || member.phase == Member.Phase.FINISHED) {
      return;
    }
    Gang gang = member.gang;
    member.result = resultJson;
    member.phase = Member.Phase.FINISHED;
    pool.revoke(member);
    listener.memberSucceeded(member, nowMs);
    enterRunningIfComplete(gang, nowMs);
    if (gang.allMembersIn(Member.Phase.FINISHED) && gang.afterDrain == Gang.AfterDrain.REQUEUE) {
      complete(gang, nowMs);
    } else {
      completeDrainIfReleased(gang, nowMs);
    }
  }

  private void complete(Gang gang, long nowMs) {
    List<TaskId> tasks = gang.members.stream().map(m -> m.task).toList();
    effects.add(
        new SchedulerEffect.JobCompleted(
            gang.job.key(),
            gang.members.get(0).result,
            tasks,
            gang.members.stream().map(m -> m.worker.id).toList()));
    gang.afterDrain = Gang.AfterDrain.DROP;
    listener.completed(gang, nowMs);
    listener.answered(gang.job, nowMs);
    completeDrainIfReleased(gang, nowMs);
  }

  void refused(TaskId task, RefusalReason reason, long nowMs) {
    Member member = members.get(task);
    if (member == null) {
      return;
    }
    Gang gang = member.gang;
    boolean releasing = gang.step == Gang.Step.DRAINING;
    setGone(member);
    if (!releasing) {
      if (gang.memberCount == 1) {
        gang.startSent = false;
      }
      member.worker.notBeforeMs = nowMs + PHASE_TIMEOUT_MS / 4;
      listener.memberRefused(member, nowMs);
      end(gang, EndCause.REFUSED, member.worker.id + " refused: " + reason, nowMs);
    }
    completeDrainIfReleased(gang, nowMs);
  }

  void failed(TaskId task, String message, long nowMs) {
    lostOrFailed(members.get(task), EndCause.FAILED, message, nowMs);
  }

  void stopped(TaskId task, long nowMs) {
    Member member = members.get(task);
    String worker = member == null ? "" : member.worker.id.value();
    lostOrFailed(member, EndCause.LOST, "a member was stopped on " + worker, nowMs);
  }

  void checkpointed(TaskId task, String checkpoint, long nowMs) {
    Member member = members.get(task);
    if (member != null) {
      member.checkpoint = checkpoint;
      lostOrFailed(member, EndCause.PREEMPTED, "a member was checkpointed", nowMs);
    }
  }

  /** Ends every gang that has a member on the lost worker. */
  void workerLost(PoolWorker worker, long nowMs) {
    for (Member member : new ArrayList<>(worker.members)) {
      lostOrFailed(member, EndCause.LOST, worker.id + " is lost", nowMs);
    }
  }

  private void lostOrFailed(@Nullable Member member, EndCause cause, String message, long nowMs) {
    if (member == null) {
      return;
    }
    Gang gang = member.gang;
    boolean draining = gang.step == Gang.Step.DRAINING;
    setGone(member);
    if (!draining) {
      if (cause != EndCause.PREEMPTED && gang.startSent) {
        listener.memberFailed(member, nowMs);
      }
      end(gang, cause, message, nowMs);
    }
    completeDrainIfReleased(gang, nowMs);
  }

  /** Releases every member of a gang and decides whether its job fails or runs again. */
  void end(Gang gang, EndCause cause, String message, long nowMs) {
    if (gang.step == Gang.Step.DRAINING) {
      return;
    }
    boolean ran = gang.step == Gang.Step.RUNNING;
    Job job = gang.job;
    RequestError error = gang.startSent ? cause.errorAfterStart(job, message) : null;
    if (cause == EndCause.CANCELLED) {
      error =
          gang.startSent
              ? RequestError.failed(RequestStep.RUN, "local", message)
              : RequestError.impossible(RequestStep.QUEUE, "local", message);
    }
    enter(gang, Gang.Step.DRAINING, nowMs);
    job.mayHaveRun |= gang.startSent;
    if (ran) {
      listener.stoppedRunning(gang, nowMs);
    }
    if (error != null) {
      failJob(job, error, nowMs);
      gang.afterDrain = Gang.AfterDrain.DROP;
    }
    boolean checkpoint =
        (cause == EndCause.PREEMPTED || cause == EndCause.OVERUSE)
            && error == null
            && job.request.template().checkpointable();
    for (Member member : gang.members) {
      releases.release(member, checkpoint && member.phase == Member.Phase.RUNNING, nowMs);
    }
    completeDrainIfReleased(gang, nowMs);
  }

  /** Fails a job; the error says "not run" only if no start was ever sent. */
  void failJob(Job job, RequestError error, long nowMs) {
    RequestError answer = job.mayHaveRun ? error.withUnknownExecution("it may have run") : error;
    effects.add(new SchedulerEffect.JobFailed(job.key(), answer));
    listener.answered(job, nowMs);
  }

  /** Ends gangs whose current step has timed out, and repeats releases without an answer. */
  void tick(long nowMs) {
    for (Gang gang : new ArrayList<>(pending)) {
      long lastedMs = nowMs - gang.stepSinceMs;
      switch (gang.step) {
        case RESERVING -> timeOut(gang, lastedMs, PHASE_TIMEOUT_MS, "reserve", nowMs);
        case CONFIRMING -> timeOut(gang, lastedMs, CONFIRM_TIMEOUT_MS, "record the intent", nowMs);
        case STARTING -> timeOut(gang, lastedMs, PHASE_TIMEOUT_MS, "start", nowMs);
        case ADOPTING -> timeOut(gang, lastedMs, PHASE_TIMEOUT_MS, "adopt", nowMs);
        case DRAINING -> retryReleases(gang, nowMs);
        case RUNNING -> pending.remove(gang);
      }
    }
  }

  private void timeOut(Gang gang, long lastedMs, long limitMs, String step, long nowMs) {
    if (lastedMs < limitMs) {
      return;
    }
    List<String> late = new ArrayList<>();
    for (Member member : gang.members) {
      if (member.phase == Member.Phase.RESERVING || member.phase == Member.Phase.STARTING) {
        late.add(member.worker.id.value());
        member.worker.notBeforeMs = nowMs + limitMs;
      }
    }
    end(gang, EndCause.LOST, "could not " + step + " in time on " + late, nowMs);
  }

  private void retryReleases(Gang gang, long nowMs) {
    gang.members.stream().filter(member -> releases.isLapsed(member, nowMs)).forEach(this::setGone);
    completeDrainIfReleased(gang, nowMs);
  }

  private void setGone(@Nullable Member member) {
    if (member == null || member.phase == Member.Phase.GONE) {
      return;
    }
    if (member.phase != Member.Phase.FINISHED) {
      member.phase = Member.Phase.GONE;
    }
    pool.revoke(member);
  }

  private void completeDrainIfReleased(Gang gang, long nowMs) {
    boolean answered = gang.afterDrain == Gang.AfterDrain.DROP;
    if ((gang.step != Gang.Step.DRAINING && !answered) || gang.drained) {
      return;
    }
    if (gang.members.stream().anyMatch(Member::holdsResources)) {
      return;
    }
    gang.drained = true;
    if (gang.step == Gang.Step.RUNNING) {
      listener.stoppedRunning(gang, nowMs);
    }
    keepCheckpoints(gang);
    gang.members.forEach(m -> members.remove(m.task));
    gangs.remove(gang.token);
    pending.remove(gang);
    if (gang.cell != null) {
      gang.cell.gangs.remove(gang);
    }
    if (gang.job.gang == gang) {
      gang.job.gang = null;
    }
    listener.drained(gang, nowMs);
  }

  /** Keeps the checkpoints only if every member wrote one, because members resume together. */
  private static void keepCheckpoints(Gang gang) {
    List<String> names = new ArrayList<>(gang.memberCount);
    for (Member member : gang.members) {
      if (member.checkpoint != null) {
        names.add(member.checkpoint);
      }
    }
    if (names.size() == gang.memberCount) {
      gang.job.checkpoints = names;
    }
  }

  private void enter(Gang gang, Gang.Step step, long nowMs) {
    gang.step = step;
    gang.stepSinceMs = nowMs;
    if (step == Gang.Step.RUNNING) {
      pending.remove(gang);
    } else {
      pending.add(gang);
    }
  }
}
