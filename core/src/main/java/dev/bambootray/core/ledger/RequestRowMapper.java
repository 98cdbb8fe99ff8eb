package dev.bambootray.core.ledger;

import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.core.store.RowWrite;
import java.util.List;

/**
 * Maps request records to rows of the table and builds the writes of these rows. The writes that
 * one call returns take effect together.
 *
 * <p>While a request is open, its record is stored in two rows that are always written together and
 * therefore have equal versions: {@code request/<workspace>/<key>}, and {@code
 * open/<region>/<workspace>/ <key>}, which a new owner of the region reads in one scan.
 */
public final class RequestRowMapper {
  private static final String REQUEST_PREFIX = "request/";
  private static final String OPEN_PREFIX = "open/";

  private final RequestRecordCodec codec;

  private RequestRowMapper(RequestRecordCodec codec) {
    this.codec = codec;
  }

  /** Returns a mapper that encodes records with the given codec. */
  public static RequestRowMapper create(RequestRecordCodec codec) {
    return new RequestRowMapper(codec);
  }

  /** Returns the key of a request's row. */
  public static String requestRowKey(RequestKey key) {
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

  /** Returns the writes that record a new request; they conflict if the key is taken. */
  public List<RowWrite> acceptWrites(RequestRecord accepted) {
    return writeBoth(accepted, 0);
  }

  /** Returns the writes that record the intent to run an attempt. */
  public List<RowWrite> intentWrites(RequestRecord intent, long expectedVersion) {
    return writeBoth(intent, expectedVersion);
  }

  /** Returns the writes that record the final answer and close the request. */
  public List<RowWrite> answerWrites(RequestRecord answered, long expectedVersion) {
    RequestKey key = answered.spec().key();
    return List.of(
        new RowWrite(requestRowKey(key), codec.encode(answered), expectedVersion),
        new RowWrite(openRow(answered), null, expectedVersion));
  }

  private List<RowWrite> writeBoth(RequestRecord content, long expectedVersion) {
    String json = codec.encode(content);
    return List.of(
        new RowWrite(requestRowKey(content.spec().key()), json, expectedVersion),
        new RowWrite(openRow(content), json, expectedVersion));
  }

  private static String openRow(RequestRecord content) {
    return openPrefix(content.region()) + content.spec().key().path();
  }
}
