package dev.bambootray.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.bambootray.core.configuration.CurrentVersion;
import dev.bambootray.core.configuration.PublishedDeclaration;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.node.RowCodec;
import dev.bambootray.core.ownership.OwnerRow;
import io.vavr.control.Either;

/**
 * Encodes and decodes table rows as JSON.
 *
 * <p>Unknown members are ignored, so that newer nodes may add some.
 */
public final class JsonRowCodec implements RowCodec {
  private final ObjectMapper json =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private JsonRowCodec() {}

  /** Returns a codec. */
  public static JsonRowCodec create() {
    return new JsonRowCodec();
  }

  @Override
  public String encode(RequestRecord recordToWrite) {
    return write(recordToWrite);
  }

  @Override
  public Either<String, RequestRecord> decode(String text) {
    return read(text, RequestRecord.class);
  }

  @Override
  public String encodeMember(MemberState member) {
    return write(member);
  }

  @Override
  public Either<String, MemberState> decodeMember(String text) {
    return read(text, MemberState.class);
  }

  @Override
  public String encodeOwner(OwnerRow row) {
    return write(row);
  }

  @Override
  public Either<String, OwnerRow> decodeOwner(String text, long rowVersion) {
    return read(text, OwnerRow.class)
        .map(
            row ->
                new OwnerRow(
                    row.region(), row.owner(), row.epoch(), row.expiresAtMs(), rowVersion));
  }

  @Override
  public String encodeCurrent(CurrentVersion current) {
    return write(current);
  }

  @Override
  public Either<String, CurrentVersion> decodeCurrent(String text) {
    return read(text, CurrentVersion.class);
  }

  @Override
  public String encodeDeclaration(PublishedDeclaration declaration) {
    return write(declaration);
  }

  @Override
  public Either<String, PublishedDeclaration> decodeDeclaration(String text) {
    return read(text, PublishedDeclaration.class);
  }

  private String write(Object value) {
    try {
      return json.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a row cannot be written as JSON", e);
    }
  }

  private <T> Either<String, T> read(String text, Class<T> type) {
    try {
      return Either.right(json.readValue(text, type));
    } catch (JsonProcessingException e) {
      return Either.left(
          "the row is not a valid " + type.getSimpleName() + ": " + e.getOriginalMessage());
    }
  }
}
