package dev.bambootray.core.node;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.ledger.RequestRecordCodec;
import dev.bambootray.core.ledger.RequestRowMapper;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The dependencies that the parts of a node share.
 *
 * @param identity the node
 * @param clock the time of the event that is being handled
 * @param outbox collects effects
 * @param store reads and writes the table
 * @param routes sends messages to nodes and to the owners of regions
 * @param rows builds transactions of request records
 * @param codec reads request records
 * @param tokens generates write tokens
 * @param random source of randomness
 * @param declaration supplies the declaration in force
 */
record NodeContext(
    NodeIdentity identity,
    EventClock clock,
    Outbox outbox,
    StoreCallDispatcher store,
    PeerMessageRouter routes,
    RequestRowMapper rows,
    RequestRecordCodec codec,
    WriteTokenGenerator tokens,
    UniformRandomProvider random,
    Supplier<Declaration> declaration) {

  long now() {
    return clock.nowMs();
  }

  String self() {
    return identity.node().value();
  }
}
