package dev.bambootray.core.membership;

/** Status of a node in the eyes of another. */
public enum MemberStatus {
  /** It answers probes. */
  ALIVE,
  /** It stopped answering and has not refuted the suspicion yet. */
  SUSPECT,
  /** It is leaving and takes no new work. */
  LEAVING,
  /** It is considered failed. */
  DEAD
}
