package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.Step;
import dev.bambootray.core.model.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Refuses jobs that can never run and jobs beyond the limits of their workspace. */
final class Admission {
  private static final long RETRY_AFTER_MS = 5_000;

  private final Pool pool;
  private Declaration declaration;
  private final Map<Shape, String> impossible = new HashMap<>();

  Admission(Pool pool, Declaration declaration) {
    this.pool = pool;
    this.declaration = declaration;
  }

  /** Replaces the declaration, which may make other shapes possible. */
  void declare(Declaration newDeclaration) {
    declaration = newDeclaration;
    impossible.clear();
  }

  /** Returns why a new job is refused, or null if it may enter the queue. */
  @Nullable RequestError refusal(Job job, JobQueue queue) {
    WorkspaceDeclaration workspace = declaration.workspaces().get(job.workspace());
    if (workspace == null) {
      return RequestError.impossible(
          Step.ADMISSION, "local", "unknown workspace " + job.workspace());
    }
    RequestError error = impossibility(job);
    if (error == null && queue.queuedOf(job.workspace()) >= workspace.maxQueued()) {
      return RequestError.notRun(
          Step.ADMISSION,
          "local",
          "the workspace already has " + workspace.maxQueued() + " waiting jobs",
          RETRY_AFTER_MS);
    }
    return error;
  }

  /** Returns why a job can never run under the current declaration, or null if it can. */
  @Nullable RequestError impossibility(Job job) {
    int limit = limit(job.workspace());
    int needed = job.shape.totalAccelerators();
    if (needed > limit) {
      return RequestError.impossible(
          Step.ADMISSION,
          "local",
          "needs " + needed + " accelerators; the workspace may use at most " + limit);
    }
    String reason = impossible.computeIfAbsent(job.shape, this::whyImpossible);
    return reason.isEmpty() ? null : RequestError.impossible(Step.ADMISSION, "local", reason);
  }

  int limit(WorkspaceId workspace) {
    WorkspaceDeclaration declared = declaration.workspaces().get(workspace);
    return declared == null ? 0 : declared.maxAccelerators();
  }

  private String whyImpossible(Shape shape) {
    if (!new FirstFitPlacement().place(pool, shape, View.DECLARED, worker -> true).isEmpty()) {
      return "";
    }
    int largest = pool.workers.stream().mapToInt(w -> w.accelerators).max().orElse(0);
    return "the region cannot hold "
        + GuaranteeCheck.describe(shape)
        + " even when it is empty: it has "
        + pool.totalAccelerators()
        + " accelerators, at most "
        + largest
        + " in a worker";
  }
}
