package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Resources;
import dev.bambootray.core.worker.TaskId;
import org.jspecify.annotations.Nullable;

/** One member of a gang and its grant on a worker. */
final class Member {
  /** Phase of a member, as far as its worker has reported it. */
  enum Phase {
    /** The reservation was requested. */
    RESERVING,
    /** The worker holds the resources. */
    RESERVED,
    /** The start was requested. */
    STARTING,
    /** The member runs. */
    RUNNING,
    /** The member ended with a result. */
    FINISHED,
    /** A release, checkpoint or stop was requested. */
    RELEASING,
    /** The member no longer holds resources. */
    GONE
  }

  final Gang gang;
  final TaskId task;
  final PoolWorker worker;
  final int firstAccelerator;
  final Resources resources;
  Phase phase = Phase.RESERVING;
  long releaseRequestedAtMs;
  int overuseSteps;
  long overuseActedAtMs;
  boolean checkpointing;
  boolean throttled;
  boolean mayHaveStartedBeforeRelease;
  String result = "null";
  @Nullable String checkpoint;

  Member(Gang gang, TaskId task, PoolWorker worker, int firstAccelerator, Resources resources) {
    this.gang = gang;
    this.task = task;
    this.worker = worker;
    this.firstAccelerator = firstAccelerator;
    this.resources = resources;
  }

  long mask() {
    return AcceleratorMasks.mask(firstAccelerator, resources.accelerators());
  }

  /** Returns whether the worker may have started the member. */
  boolean mayHaveStarted() {
    return phase == Phase.STARTING || phase == Phase.RUNNING || phase == Phase.FINISHED;
  }

  /** Returns whether the worker may still hold resources for the member. */
  boolean holdsResources() {
    return phase != Phase.GONE && phase != Phase.FINISHED;
  }
}
