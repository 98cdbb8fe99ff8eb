package dev.bambootray.core.scheduling;

import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.model.WorkspaceId;
import java.util.LinkedHashMap;
import java.util.Map;

/** Repairs the plan when the pool changes, and reports guarantees that break or are restored. */
final class GuaranteeMonitor {
  /** Interval at which a failed repair is retried, because each one searches the whole pool. */
  private static final long RETRY_MS = 1_000;

  private final GuaranteePlan plan;
  private final EffectBuffer effects;
  private final Map<Key, MissingGuarantee> broken = new LinkedHashMap<>();
  private boolean repairDue = true;
  private long repairedAtMs = Long.MIN_VALUE / 2;

  GuaranteeMonitor(GuaranteePlan plan, EffectBuffer effects) {
    this.plan = plan;
    this.effects = effects;
  }

  /** Requests a repair before the next placement. */
  void poolChanged() {
    repairDue = true;
  }

  /** Repairs the plan if it is due, and reports changes of broken guarantees. */
  void check(long nowMs) {
    boolean retry = !broken.isEmpty() && nowMs - repairedAtMs >= RETRY_MS;
    if (!repairDue && !retry) {
      return;
    }
    repairDue = false;
    repairedAtMs = nowMs;
    plan.repair();
    report();
  }

  private void report() {
    Map<Key, MissingGuarantee> now = new LinkedHashMap<>();
    for (MissingGuarantee missing : GuaranteeCheck.missing(plan)) {
      now.put(new Key(missing.workspace(), missing.guarantee()), missing);
    }
    broken.forEach(
        (key, missing) -> {
          if (!now.containsKey(key)) {
            effects.add(new SchedulerEffect.GuaranteeRestored(key.workspace, key.guarantee));
          }
        });
    now.forEach(
        (key, missing) -> {
          if (!missing.equals(broken.get(key))) {
            effects.add(
                new SchedulerEffect.GuaranteeBroken(
                    key.workspace, key.guarantee, missing.missing()));
          }
        });
    broken.clear();
    broken.putAll(now);
  }

  private record Key(WorkspaceId workspace, Guarantee guarantee) {}
}
