package dev.bambootray.core.model;

/** How close the members of a gang must be to each other. */
public enum Adjacency {
  /** All members on adjacent workers of one rack. */
  ADJACENT_WORKERS,
  /** All members in one rack. */
  RACK,
  /** All members in one failure domain. */
  FAILURE_DOMAIN,
  /** All members in one region. */
  REGION
}
