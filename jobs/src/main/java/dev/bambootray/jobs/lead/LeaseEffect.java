package dev.bambootray.jobs.lead;

import dev.bambootray.jobs.scheduling.JobEffect;
import org.jspecify.annotations.Nullable;

/** An action that {@link PoolLease} requests. */
public sealed interface LeaseEffect {
  /** Reads the owner row. */
  record ReadOwner() implements LeaseEffect {}

  /**
   * Writes the owner row and records in one transaction. Answers to earlier commits that arrive
   * later must be dropped.
   *
   * @param expectedVersion version that the owner row must have
   * @param owner new content of the owner row
   * @param batch records to write in the same transaction, or null
   */
  record Commit(long expectedVersion, OwnerRecord owner, JobEffect.@Nullable Persist batch)
      implements LeaseEffect {}

  /** The node became the owner of the pool. */
  record Won(long epoch) implements LeaseEffect {}

  /** The node no longer owns the pool. */
  record Lost(String reason) implements LeaseEffect {}

  /** A batch of records is in the store. */
  record BatchDurable(long batch) implements LeaseEffect {}
}
