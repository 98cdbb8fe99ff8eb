package dev.bambootray.jobs.lead;

import dev.bambootray.jobs.scheduling.JobEffect;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** An input of {@link PoolLease}. */
public sealed interface LeaseEvent {
  /** Time has passed. */
  record Tick() implements LeaseEvent {}

  /**
   * The owner row was read.
   *
   * @param owner its content, or null if there is none
   * @param version its version, 0 if there is none
   */
  record OwnerRead(@Nullable OwnerRecord owner, long version) implements LeaseEvent {}

  /** The owner row could not be read. */
  record ReadFailed() implements LeaseEvent {}

  /** The commit in flight was applied. */
  record Committed(long version) implements LeaseEvent {}

  /**
   * The commit in flight was not applied, because the owner row has another version.
   *
   * @param owner content of the owner row, or null if there is none
   * @param version version of the owner row, 0 if there is none
   */
  record Conflicted(@Nullable OwnerRecord owner, long version) implements LeaseEvent {}

  /**
   * The commit in flight failed.
   *
   * @param mayApply whether it may have been applied, or may be applied later
   */
  record CommitFailed(boolean mayApply) implements LeaseEvent {}

  /** The scheduler has records to write. */
  record Persist(JobEffect.Persist batch) implements LeaseEvent {}

  /**
   * The load that the owner publishes has changed.
   *
   * @param pending number of accepted jobs that have not started, by template
   * @param heldPercent memory that the accepted jobs take, in percent of the limit
   */
  record LoadChanged(Map<String, Long> pending, int heldPercent) implements LeaseEvent {
    /** Copies the map. */
    public LoadChanged {
      pending = Map.copyOf(pending);
    }
  }

  /** The node cannot continue as the owner; like any other node it may claim the pool again. */
  record Abandon(String reason) implements LeaseEvent {}

  /** The node must release the pool, if it is the owner, and not claim it until {@link Return}. */
  record StepAside() implements LeaseEvent {}

  /** The node may claim the pool again after {@link StepAside}. */
  record Return() implements LeaseEvent {}

  /** The node must release the pool, if it is the owner, and never claim it again. */
  record Release() implements LeaseEvent {}
}
