package dev.bambootray.adapters.telemetry;

/** Part of a node that writes log entries, with its fixed prefix. */
public enum LogPart {
  /** Callers and operators. */
  HTTP("http:"),
  /** Messages between nodes. */
  PEER("peer:"),
  /** Ownership of regions. */
  OWNER("owner:"),
  /** Scheduling of gangs. */
  SCHED("sched:"),
  /** Routing of service requests. */
  ROUTE("route:"),
  /** The platform's table and object store. */
  STORE("store:"),
  /** Membership of nodes. */
  MEMBER("member:"),
  /** The declaration, settings and keys. */
  CONFIG("config:");

  private final String prefix;

  LogPart(String prefix) {
    this.prefix = prefix;
  }

  /** Returns the prefix of its entries. */
  public String prefix() {
    return prefix;
  }
}
