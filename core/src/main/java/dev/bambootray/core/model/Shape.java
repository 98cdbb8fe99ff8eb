package dev.bambootray.core.model;

/**
 * The resources of a gang: a number of equal members, each with adjacent accelerators within one
 * worker.
 *
 * @param members number of members, 1 to 64
 * @param acceleratorsPerMember adjacent accelerators of each member in one worker; 0 for a service
 *     request
 * @param millicoresPerMember processor time of each member in thousandths of a core
 * @param memoryMibPerMember memory of each member in MiB
 * @param adjacency how close the members must be
 */
public record Shape(
    int members,
    int acceleratorsPerMember,
    int millicoresPerMember,
    int memoryMibPerMember,
    Adjacency adjacency) {

  /** The largest gang, in members. */
  public static final int MAX_MEMBERS = 64;

  /** Checks the ranges. */
  public Shape {
    if (members < 1 || members > MAX_MEMBERS) {
      throw new IllegalArgumentException("members is " + members + ": expected 1 to 64");
    }
    if (acceleratorsPerMember < 0 || millicoresPerMember < 0 || memoryMibPerMember < 0) {
      throw new IllegalArgumentException("resources of a member must not be negative");
    }
  }

  /** Returns the accelerators of all members together. */
  public int totalAccelerators() {
    return members * acceleratorsPerMember;
  }
}
