package dev.bambootray.jobs.lead;

import dev.bambootray.jobs.scheduling.JobEffect;
import org.jspecify.annotations.Nullable;

/** What {@link PoolLease} asks for. */
public sealed interface LeaseEffect {
  /** Read the owner row. */
  record ReadOwner() implements LeaseEffect {}

  /**
   * Write the owner row and records in one transaction.
   *
   * @param expectedVersion version that the owner row must have
   * @param owner its new content
   * @param batch records to write with it, or null
   */
  record Commit(long expectedVersion, OwnerRecord owner, JobEffect.@Nullable Persist batch)
      implements LeaseEffect {}

  /** The node owns the pool from now on. */
  record Won(long epoch) implements LeaseEffect {}

  /** The node does not own the pool any more. */
  record Lost(String reason) implements LeaseEffect {}

  /** A batch of records is in the store. */
  record BatchDurable(long batch) implements LeaseEffect {}
}
