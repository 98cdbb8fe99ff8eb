package dev.bambootray.documents;

/** Exit codes of the daemon and of the command-line tool. */
public enum ExitCode {
  /** Done. */
  OK(0),
  /** An error of the program itself. */
  INTERNAL_ERROR(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The settings are wrong or can't be read. */
  INVALID_SETTINGS(3),
  /** The declaration is wrong or can't be read. */
  INVALID_DECLARATION(4),
  /** Another process listens on a port that the settings name. */
  PORT_IN_USE(5),
  /** Another version was published since the one that the change is based on. */
  LOST_RACE(6),
  /** The version is committed, but too few nodes have confirmed it yet. */
  NOT_ACCEPTED_YET(7),
  /** The request has its final answer, and it is an error. */
  REQUEST_FAILED(8),
  /** It is not known whether the request ran. */
  REQUEST_UNKNOWN(9),
  /** There is no such request, template, worker or version. */
  NOT_FOUND(10),
  /** No node could be reached. */
  UNREACHABLE(11),
  /** The token is missing, wrong or belongs to another workspace. */
  UNAUTHORIZED(12),
  /** The node refused the call; nothing was run or changed. */
  REFUSED(13),
  /** The request is accepted, but was not answered within the time to wait. */
  NOT_ANSWERED_YET(14);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number that the process exits with. */
  public int code() {
    return code;
  }
}
