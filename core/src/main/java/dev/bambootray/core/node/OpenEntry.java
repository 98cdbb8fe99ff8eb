package dev.bambootray.core.node;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.List;

/** A request whose answer this node waits for as its entry node. */
final class OpenEntry {
  /** Stands for a record whose commit is under way. */
  static final long VERSION_PENDING = -1;

  /** Stands for a request that has no record because the table was away. */
  static final long VERSION_NONE = 0;

  RequestSpec spec;
  RegionId region;
  long recordVersion = VERSION_PENDING;
  long recordAskedAtMs;
  long resendAtMs = Long.MAX_VALUE;
  int resends;
  boolean settling;

  /** Epoch of the owner that got the request without a record first, or 0. */
  long firstEpoch;

  /** Whether a request without a record was sent to more than one owner. */
  boolean sentToSeveralOwners;

  final List<Ticket> tickets = new ArrayList<>();

  OpenEntry(RequestSpec spec, RegionId region) {
    this.spec = spec;
    this.region = region;
  }

  boolean isForwarded() {
    return recordVersion != VERSION_PENDING;
  }

  boolean isDurable() {
    return recordVersion > 0;
  }

  RequestRecord view() {
    return RequestRecord.accepted(spec, region);
  }

  int heldBytes() {
    return spec.parametersJson().length() + 512;
  }

  /**
   * A waiting call.
   *
   * @param number its number
   * @param replyAtMs when it is told how things stand even without an answer
   * @param untilAccepted whether it wants to know only that the request is accepted
   */
  record Ticket(long number, long replyAtMs, boolean untilAccepted) {}
}
