package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.Resources;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** A job that the scheduler accepted and has not answered yet. */
final class Job {
  final QueuedJob request;
  final long sequence;
  final Shape shape;

  /** Name of the checkpoint of each member, or null to start from the beginning. */
  @Nullable List<String> checkpoints;

  @Nullable Gang gang;
  @Nullable Claim claim;

  /** Whether the job is in the queue. */
  boolean waiting;

  boolean answered;

  /** Whether the next failure counts against the worker instead of the attempts of the job. */
  boolean nextFailureExcused;

  /** Whether a start was ever sent; stays set even if the failure is not counted. */
  boolean mayHaveRun;

  int attempts;
  int failures;
  int preemptions;
  long notBeforeMs;
  long ranMs;

  /** When the first reservation promised its start; 0 before any promise. */
  long promisedStartMs;

  /** Workers on which the job failed; later attempts avoid them. */
  final Set<WorkerId> failedOn = new ObjectOpenHashSet<>(0);

  Job(QueuedJob request, long sequence) {
    this.request = request;
    this.sequence = sequence;
    this.shape = request.template().shape();
    String checkpoint = request.checkpoint();
    this.checkpoints = checkpoint == null ? null : Collections.nCopies(shape.members(), checkpoint);
  }

  RequestKey key() {
    return request.spec().key();
  }

  WorkspaceId workspace() {
    return request.spec().key().workspace();
  }

  boolean repeatable() {
    return request.spec().repeatable();
  }

  Resources resourcesPerMember() {
    return new Resources(
        shape.acceleratorsPerMember(), shape.millicoresPerMember(), shape.memoryMibPerMember());
  }
}
