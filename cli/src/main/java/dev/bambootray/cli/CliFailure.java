package dev.bambootray.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import dev.bambootray.cli.client.NodeReply;
import dev.bambootray.documents.ExitCode;
import java.util.List;

/**
 * Why a verb did not succeed.
 *
 * @param code the exit code
 * @param lines what went wrong, one error a line
 * @param problem the problem details that the node gave; a missing node if there are none
 */
public record CliFailure(ExitCode code, List<String> lines, JsonNode problem) {

  /** Copies the lines. */
  public CliFailure {
    lines = List.copyOf(lines);
  }

  /** Returns a failure with one line. */
  public static CliFailure of(ExitCode code, String line) {
    return of(code, List.of(line));
  }

  /** Returns a failure with several lines. */
  public static CliFailure of(ExitCode code, List<String> lines) {
    return new CliFailure(code, lines, MissingNode.getInstance());
  }

  /** Returns the failure that a node's reply tells. */
  public static CliFailure of(NodeReply reply) {
    JsonNode problem = reply.json();
    String detail = problem.path("detail").asText("the node gave no reason");
    StringBuilder line = new StringBuilder(detail).append(" (status ").append(reply.status());
    for (String member : List.of("step", "peer", "ran", "retryable", "retryAfterMs")) {
      if (problem.hasNonNull(member)) {
        line.append(", ").append(member).append(' ').append(problem.get(member).asText());
      }
    }
    return new CliFailure(codeOf(reply), List.of(line.append(')').toString()), problem);
  }

  private static ExitCode codeOf(NodeReply reply) {
    if ("unknown".equals(reply.json().path("ran").asText())) {
      return ExitCode.REQUEST_UNKNOWN;
    }
    return switch (reply.status()) {
      case 401, 403 -> ExitCode.UNAUTHORIZED;
      case 404 -> ExitCode.NOT_FOUND;
      case 429, 503 -> ExitCode.REFUSED;
      default -> ExitCode.REQUEST_FAILED;
    };
  }
}
