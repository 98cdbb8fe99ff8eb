package dev.bambootray.core.membership;

/** Status of a node as observed by another node. */
public enum MemberStatus {
  /** It answers probes. */
  ALIVE,
  /** It stopped answering probes and has not refuted the suspicion yet. */
  SUSPECT,
  /** It is leaving and accepts no new work. */
  LEAVING,
  /** It is considered failed. */
  DEAD
}
