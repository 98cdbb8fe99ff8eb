package dev.bambootray.core.routing;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.ServiceId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.worker.TaskId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** The state that the components of one target router share. */
final class RouterState {
  final UniformRandomProvider random;
  final TimerHeap timers = new TimerHeap();
  final Map<RequestKey, PendingRequest> requests = new HashMap<>();
  final Map<TaskId, Run> runs = new HashMap<>();
  final Map<ServiceId, ServicePool> pools = new LinkedHashMap<>();
  final Map<WorkerId, List<Target>> targets = new HashMap<>();
  Declaration declaration;
  private final List<RouterEffect> effects = new ArrayList<>();
  private final String tokenPrefix;
  private long lastToken;

  RouterState(Declaration declaration, UniformRandomProvider random, String tokenPrefix) {
    this.declaration = declaration;
    this.random = random;
    this.tokenPrefix = tokenPrefix;
  }

  PolicyDeclaration policy() {
    return declaration.policy();
  }

  double weightOf(WorkspaceId workspace) {
    WorkspaceDeclaration declared = declaration.workspaces().get(workspace);
    return declared == null || declared.weight() <= 0 ? 1 : declared.weight();
  }

  int maxQueuedOf(WorkspaceId workspace) {
    WorkspaceDeclaration declared = declaration.workspaces().get(workspace);
    return declared == null ? 0 : declared.maxQueued();
  }

  void emit(RouterEffect effect) {
    effects.add(effect);
  }

  List<RouterEffect> takeEffects() {
    if (effects.isEmpty()) {
      return List.of();
    }
    // Most events lead to one effect, and the buffer is used again, so only the result is
    // allocated.
    List<RouterEffect> taken = effects.size() == 1 ? List.of(effects.get(0)) : List.copyOf(effects);
    effects.clear();
    return taken;
  }

  TaskId nextTask() {
    return new TaskId(AttemptToken.of(tokenPrefix + ++lastToken), 0);
  }

  /** Registers a run, which takes a slot of its target. */
  void addRun(Run run) {
    run.target.addRun(run);
    run.request.runs.add(run);
    runs.put(run.task, run);
  }

  /** Removes a run that has certainly ended or was never sent, which frees its slot. */
  void removeRun(Run run) {
    run.target.removeRun(run);
    run.request.runs.remove(run);
    runs.remove(run.task);
    timers.cancel(run);
    if (run.statusQueryQueued) {
      run.target.statusQueryQueue.remove(run);
    }
  }

  /** Sets the timer of a run to the earlier of its hedge time and its next status check. */
  void scheduleRun(Run run) {
    long dueAtMs = Math.min(run.hedgeAtMs, run.statusCheckAtMs);
    if (dueAtMs == Run.NEVER) {
      timers.cancel(run);
    } else {
      timers.schedule(run, dueAtMs);
    }
  }
}
