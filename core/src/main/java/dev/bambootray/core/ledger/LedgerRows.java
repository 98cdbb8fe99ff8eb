package dev.bambootray.core.ledger;

import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.store.RowWrite;
import dev.bambootray.core.store.TableTransaction;
import java.util.List;

/**
 * Builds the transactions of request records.
 *
 * <p>While a request is open, its record stands in two rows that are always written together and so
 * have equal versions: {@code request/<workspace>/<key>}, and {@code open/<region>/<workspace>/
 * <key>}, which a new owner of the region reads in one scan.
 */
public final class LedgerRows {
  private static final String REQUEST_PREFIX = "request/";
  private static final String OPEN_PREFIX = "open/";

  private final RecordCodec codec;

  private LedgerRows(RecordCodec codec) {
    this.codec = codec;
  }

  /** Returns a builder of transactions that writes records by the given codec. */
  public static LedgerRows create(RecordCodec codec) {
    return new LedgerRows(codec);
  }

  /** Returns the key of a request's row. */
  public static String requestRow(RequestKey key) {
    return REQUEST_PREFIX + key.path();
  }

  /** Returns the prefix of the rows of a workspace's requests. */
  public static String workspacePrefix(WorkspaceId workspace) {
    return REQUEST_PREFIX + workspace.value() + "/";
  }

  /** Returns the prefix of the rows of a region's open requests. */
  public static String openPrefix(RegionId region) {
    return OPEN_PREFIX + region.value() + "/";
  }

  /** Returns the transaction that records a new request; it conflicts if the key is taken. */
  public TableTransaction accept(RequestRecord accepted, String writeToken) {
    return writeBoth(accepted, 0, writeToken);
  }

  /** Returns the transaction that records an attempt. */
  public TableTransaction intent(RequestRecord intent, long expectedVersion, String writeToken) {
    return writeBoth(intent, expectedVersion, writeToken);
  }

  /** Returns the transaction that records the final answer and closes the request. */
  public TableTransaction answer(RequestRecord answered, long expectedVersion, String writeToken) {
    RequestKey key = answered.spec().key();
    return new TableTransaction(
        writeToken,
        List.of(
            new RowWrite(requestRow(key), codec.encode(answered), expectedVersion),
            new RowWrite(openRow(answered), null, expectedVersion)));
  }

  private TableTransaction writeBoth(
      RequestRecord content, long expectedVersion, String writeToken) {
    String json = codec.encode(content);
    return new TableTransaction(
        writeToken,
        List.of(
            new RowWrite(requestRow(content.spec().key()), json, expectedVersion),
            new RowWrite(openRow(content), json, expectedVersion)));
  }

  private static String openRow(RequestRecord content) {
    return openPrefix(content.region()) + content.spec().key().path();
  }
}
