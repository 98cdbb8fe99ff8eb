package dev.bambootray.core.ledger;

import io.vavr.control.Either;

/** Converts request records to the JSON text of a row and back. */
public interface RequestRecordCodec {

  /** Returns the JSON text of a record. */
  String encode(RequestRecord recordToWrite);

  /** Returns the record, or one sentence that describes the error in the text. */
  Either<String, RequestRecord> decode(String json);
}
