package dev.bambootray.core.node;

import dev.bambootray.core.configuration.CurrentVersion;
import dev.bambootray.core.configuration.PublishedDeclaration;
import dev.bambootray.core.ledger.RequestRecordCodec;
import dev.bambootray.core.membership.MemberState;
import dev.bambootray.core.ownership.OwnerRow;
import io.vavr.control.Either;

/** Encodes the content of rows as JSON text and decodes it; an error is one sentence. */
public interface RowCodec extends RequestRecordCodec {

  /** Returns the JSON text of a member's state. */
  String encodeMember(MemberState member);

  /** Returns the state of a member. */
  Either<String, MemberState> decodeMember(String json);

  /** Returns the JSON text of an owner's row; the version is not part of it. */
  String encodeOwner(OwnerRow row);

  /** Returns an owner's row of the given version. */
  Either<String, OwnerRow> decodeOwner(String json, long rowVersion);

  /** Returns the JSON text that names the current version of the declaration. */
  String encodeCurrent(CurrentVersion current);

  /** Returns the current version of the declaration. */
  Either<String, CurrentVersion> decodeCurrent(String json);

  /** Returns the JSON text of a published declaration. */
  String encodeDeclaration(PublishedDeclaration declaration);

  /** Returns a published declaration. */
  Either<String, PublishedDeclaration> decodeDeclaration(String json);
}
