package dev.bambootray.cli.client;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Calls to a deployment through any of several nodes.
 *
 * <p>A call goes to the node that answered last. If that node cannot be reached, the same call goes
 * to the next one; every call of the tool is either a read, conditional or idempotent.
 */
public final class NodeSession {
  private final NodeClient client;
  private final List<String> nodes;
  private final String token;
  private int current;

  private NodeSession(NodeClient client, List<String> nodes, String token) {
    this.client = client;
    this.nodes = List.copyOf(nodes);
    this.token = token;
  }

  /** Returns a session with the given base URLs, of which there is at least one. */
  public static NodeSession of(NodeClient client, List<String> nodes, String token) {
    return new NodeSession(client, nodes, token);
  }

  /** Returns the base URLs of the nodes. */
  public List<String> nodes() {
    return nodes;
  }

  /** Returns the base URL of the node that the next call goes to. */
  public String currentNode() {
    return nodes.get(current);
  }

  /** Moves on to the next node. */
  public void advance() {
    current = (current + 1) % nodes.size();
  }

  /** Returns the reply of the first node that can be reached, whatever its status. */
  public Either<CliFailure, NodeReply> call(NodeCall call) {
    List<String> errors = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      Either<String, NodeReply> reply = client.call(currentNode(), token, call);
      if (reply.isRight()) {
        return Either.right(reply.get());
      }
      errors.add(currentNode() + ": " + reply.getLeft());
      advance();
    }
    return Either.left(CliFailure.of(ExitCode.UNREACHABLE, errors));
  }

  /** Returns the reply of one node, whatever its status, without moving on to another. */
  public Either<CliFailure, NodeReply> callOne(String node, NodeCall call) {
    return client
        .call(node, token, call)
        .mapLeft(error -> CliFailure.of(ExitCode.UNREACHABLE, node + ": " + error));
  }

  /** Returns the body of a successful reply; any other status is a failure. */
  public Either<CliFailure, JsonNode> read(NodeCall call) {
    return call(call).flatMap(NodeSession::body);
  }

  /** Returns the body of a successful reply; any other status is a failure. */
  public static Either<CliFailure, JsonNode> body(NodeReply reply) {
    return reply.isSuccess() ? Either.right(reply.json()) : Either.left(CliFailure.of(reply));
  }

  /** Returns a text as a part of a path or query. */
  public static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
