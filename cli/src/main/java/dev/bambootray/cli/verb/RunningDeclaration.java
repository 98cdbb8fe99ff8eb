package dev.bambootray.cli.verb;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.core.declaration.Declaration;
import io.vavr.control.Either;

/**
 * A published version as a node gives it.
 *
 * @param version its version, 0 if nothing was published yet
 * @param text its text
 * @param author who published it
 */
record RunningDeclaration(long version, String text, String author) {

  static Either<CliFailure, RunningDeclaration> current(NodeSession session) {
    return session.read(NodeCall.get("/v1/declaration")).map(RunningDeclaration::of);
  }

  static Either<CliFailure, RunningDeclaration> at(NodeSession session, long version) {
    return session
        .read(NodeCall.get("/v1/declaration/history/" + version))
        .map(RunningDeclaration::of);
  }

  static RunningDeclaration of(JsonNode json) {
    return new RunningDeclaration(
        json.path("version").asLong(), json.path("text").asText(), json.path("author").asText());
  }

  Either<CliFailure, Declaration> parse() {
    return DeclarationFiles.published(text, version);
  }
}
