package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.AttemptToken;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** One attempt at a job: its members and the step that they have reached together. */
final class Gang {
  /** Step of an attempt. */
  enum Step {
    /** Members are being reserved. */
    RESERVING,
    /** All members are reserved; the intent to start is being recorded. */
    CONFIRMING,
    /** The start of all members was requested. */
    STARTING,
    /** All members run. */
    RUNNING,
    /** All members are being released. */
    DRAINING,
    /** The attempt began under an earlier owner; its members are being collected. */
    ADOPTING
  }

  /** The next state of the job once every member has been released. */
  enum AfterDrain {
    /** The job returns to the queue. */
    REQUEUE,
    /** The job is removed, because it was already answered. */
    DROP
  }

  final Job job;
  final AttemptToken token;
  final int memberCount;
  GrantKind kind;
  @Nullable GuaranteedCell cell;
  final List<Member> members = new ArrayList<>();
  Step step = Step.RESERVING;
  AfterDrain afterDrain = AfterDrain.REQUEUE;
  long stepSinceMs;
  long runningSinceMs;

  /** Whether a start was sent, in which case the job may have run. */
  boolean startSent;

  boolean drained;

  Gang(
      Job job, AttemptToken token, int memberCount, GrantKind kind, @Nullable GuaranteedCell cell) {
    this.job = job;
    this.token = token;
    this.memberCount = memberCount;
    this.kind = kind;
    this.cell = cell;
  }

  boolean allMembersIn(Member.Phase phase) {
    return members.size() == memberCount && members.stream().allMatch(m -> m.phase == phase);
  }

  /** Returns whether every member wrote a checkpoint when it stopped. */
  boolean checkpointed() {
    return members.size() == memberCount && members.stream().allMatch(m -> m.checkpoint != null);
  }

  /** Returns whether the gang or its cell includes a worker that no longer takes work. */
  boolean includesUnavailableWorker() {
    GuaranteedCell left = cell;
    return members.stream().anyMatch(m -> !m.worker.takesWork())
        || (left != null && left.ranges.stream().anyMatch(s -> !s.worker().takesWork()));
  }
}
