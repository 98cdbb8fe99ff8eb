package dev.bambootray.core.node;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.ledger.LedgerRows;
import dev.bambootray.core.ledger.RecordCodec;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The dependencies that the parts of a node share.
 *
 * @param identity the node
 * @param time the time of the event that is being handled
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
    NodeTime time,
    Outbox outbox,
    StoreCalls store,
    RegionRoutes routes,
    LedgerRows rows,
    RecordCodec codec,
    TokenSource tokens,
    UniformRandomProvider random,
    Supplier<Declaration> declaration) {

  long now() {
    return time.nowMs();
  }

  String self() {
    return identity.node().value();
  }
}
