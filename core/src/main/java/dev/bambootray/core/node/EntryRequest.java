package dev.bambootray.core.node;

import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.List;

/** A request whose answer this node waits for as its entry node. */
final class EntryRequest {
  /** Version of a record whose commit is in progress. */
  static final long VERSION_PENDING = -1;

  /** Version of a request that has no record because the table was unavailable. */
  static final long VERSION_NONE = 0;

  RequestSpec spec;
  RegionId region;
  long recordVersion = VERSION_PENDING;
  long recordWriteSentAtMs;
  long resendAtMs = Long.MAX_VALUE;
  int resends;
  boolean settling;

  /** Epoch of the owner to which the request was last sent, or 0. */
  long lastSentEpoch;

  /** Whether the request was sent to more than one owner, each of which may have run it. */
  boolean sentToSeveralOwners;

  final List<Ticket> tickets = new ArrayList<>();

  EntryRequest(RequestSpec spec, RegionId region) {
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
   * A call that waits for a request.
   *
   * @param number its number
   * @param replyAtMs when it is answered with the present state if there is no answer yet
   * @param untilAccepted whether it waits only until the request is accepted
   */
  record Ticket(long number, long replyAtMs, boolean untilAccepted) {}
}
