package dev.bambootray.cli.output;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.documents.ExitCode;
import java.time.Instant;
import java.util.List;

/** Shows views of requests. */
public final class RequestText {
  private static final List<String> ERROR_MEMBERS =
      List.of("step", "peer", "ran", "retryable", "retryAfterMs");

  private RequestText() {}

  /** Returns whether the request has its final answer. */
  public static boolean isAnswered(JsonNode view) {
    return view.hasNonNull("answer");
  }

  /** Returns the exit code that fits where the request stands. */
  public static ExitCode exitCode(JsonNode view) {
    if (!isAnswered(view)) {
      return ExitCode.NOT_ANSWERED_YET;
    }
    JsonNode answer = view.get("answer");
    if ("unknown".equals(answer.path("ran").asText())) {
      return ExitCode.REQUEST_UNKNOWN;
    }
    return answer.hasNonNull("error") ? ExitCode.REQUEST_FAILED : ExitCode.OK;
  }

  /** Returns a request as lines of names and values. */
  public static String details(JsonNode view) {
    StringBuilder text = new StringBuilder();
    line(text, "request", view.path("workspace").asText() + "/" + key(view));
    line(text, "template", view.path("template").asText());
    line(text, "state", view.path("state").asText());
    line(text, "region", view.path("region").asText("-"));
    line(text, "durable", view.path("durable").asText("-"));
    line(text, "submitted", time(view.path("submittedAtMs")));
    line(text, "deadline", time(view.path("deadlineAtMs")));
    if (isAnswered(view)) {
      JsonNode answer = view.get("answer");
      line(text, "ran", answer.path("ran").asText());
      line(text, "answer", answer(answer));
    }
    return text.toString().stripTrailing();
  }

  private static void line(StringBuilder text, String name, String value) {
    text.append(String.format("%-10s %s%n", name, value));
  }

  /** Returns an answer in one line. */
  private static String answer(JsonNode answer) {
    if (answer.hasNonNull("error")) {
      JsonNode error = answer.get("error");
      StringBuilder text = new StringBuilder("error: ");
      text.append(error.path("detail").asText(error.path("message").asText("no reason given")));
      for (String member : ERROR_MEMBERS) {
        if (error.hasNonNull(member)) {
          text.append(", ").append(member).append(' ').append(error.get(member).asText());
        }
      }
      return text.toString();
    }
    return answer.hasNonNull("resultReference")
        ? "object " + answer.get("resultReference").asText()
        : answer.path("result").toString();
  }

  /** Returns requests as a table. */
  public static String table(Iterable<JsonNode> views) {
    TextTable table = TextTable.of("KEY", "TEMPLATE", "STATE", "REGION", "DEADLINE", "RAN");
    for (JsonNode view : views) {
      table.row(
          key(view),
          view.path("template").asText(),
          view.path("state").asText(),
          view.path("region").asText("-"),
          time(view.path("deadlineAtMs")),
          view.path("answer").path("ran").asText("-"));
    }
    return table.render();
  }

  /** Returns the idempotency key of a request. */
  public static String key(JsonNode view) {
    return view.path("idempotencyKey").asText();
  }

  /** Returns a time in milliseconds since the epoch as UTC, or a hyphen if it is missing. */
  public static String time(JsonNode ms) {
    return ms.isNumber() ? Instant.ofEpochMilli(ms.asLong()).toString() : "-";
  }
}
