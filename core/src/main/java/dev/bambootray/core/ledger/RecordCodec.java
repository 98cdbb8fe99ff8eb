package dev.bambootray.core.ledger;

import io.vavr.control.Either;

/** Turns request records into the JSON text of a row and back. */
public interface RecordCodec {

  /** Returns the JSON text of a record. */
  String encode(RequestRecord recordToWrite);

  /** Returns the record, or one sentence that says what is wrong with the text. */
  Either<String, RequestRecord> decode(String json);
}
