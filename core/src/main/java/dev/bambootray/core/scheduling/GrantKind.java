package dev.bambootray.core.scheduling;

/** Under which right a gang holds its resources. */
enum GrantKind {
  /** Within a guaranteed cell of its own workspace; never a victim. */
  GUARANTEED,
  /** Beyond the guarantee and never a victim, because it must not be started twice. */
  PINNED,
  /** Beyond the guarantee; a claim may stop it. */
  BORROWED
}
