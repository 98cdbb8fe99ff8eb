package dev.bambootray.core.scheduling;

/**
 * The kind of grant under which a gang holds its resources; decides whether it may be preempted.
 */
enum GrantKind {
  /** Within a guaranteed cell of its own workspace; never preempted. */
  GUARANTEED,
  /** Beyond the guarantee, but never preempted because the job must not be started twice. */
  PINNED,
  /** Beyond the guarantee; a claim may preempt it. */
  BORROWED
}
