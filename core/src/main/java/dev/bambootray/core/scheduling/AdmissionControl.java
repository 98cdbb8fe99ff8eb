package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkspaceId;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Refuses jobs that can never run and jobs beyond the limits of their workspace. */
final class AdmissionControl {
  private static final long RETRY_AFTER_MS = 5_000;

  private final WorkerPool pool;
  private Declaration declaration;
  private final Map<Shape, String> impossibleReasons = new HashMap<>();

  AdmissionControl(WorkerPool pool, Declaration declaration) {
    this.pool = pool;
    this.declaration = declaration;
  }

  /** Replaces the declaration, which may make other shapes possible. */
  void declare(Declaration newDeclaration) {
    declaration = newDeclaration;
    impossibleReasons.clear();
  }

  /** Returns why a new job is refused, or null if it may enter the queue. */
  @Nullable RequestError refusal(Job job, JobQueue queue) {
    WorkspaceDeclaration workspace = declaration.workspaces().get(job.workspace());
    if (workspace == null) {
      return RequestError.impossible(
          RequestStep.ADMISSION, "local", "unknown workspace " + job.workspace());
    }
    RequestError error = impossibility(job);
    if (error == null && queue.queuedCount(job.workspace()) >= workspace.maxQueued()) {
      return RequestError.notRun(
          RequestStep.ADMISSION,
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
          RequestStep.ADMISSION,
          "local",
          "needs " + needed + " accelerators; the workspace may use at most " + limit);
    }
    String reason = impossibleReasons.computeIfAbsent(job.shape, this::impossibleReason);
    return reason.isEmpty()
        ? null
        : RequestError.impossible(RequestStep.ADMISSION, "local", reason);
  }

  int limit(WorkspaceId workspace) {
    WorkspaceDeclaration declared = declaration.workspaces().get(workspace);
    return declared == null ? 0 : declared.maxAccelerators();
  }

  private String impossibleReason(Shape shape) {
    if (!new FirstFitPlacement()
        .place(pool, shape, CapacityView.DECLARED, worker -> true)
        .isEmpty()) {
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
