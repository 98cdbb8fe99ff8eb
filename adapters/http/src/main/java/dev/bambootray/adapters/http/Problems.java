package dev.bambootray.adapters.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Map;

/** Writes errors as problem details (RFC 9457). */
final class Problems {
  static final String LOCAL = "local";

  private Problems() {}

  /** Returns the response for a malformed request; the detail names the member and the expected. */
  static ApiResponse badRequest(String detail) {
    return local(400, RequestStep.ADMISSION, detail);
  }

  /** Returns the response for a call that does not exist or may not be made. */
  static ApiResponse local(int status, RequestStep step, String detail) {
    return response(status, RequestError.impossible(step, LOCAL, detail));
  }

  /** Returns the response for a fault of this node; it is not known whether the request ran. */
  static ApiResponse internal() {
    RequestError error =
        new RequestError(
            RequestStep.ADMISSION,
            LOCAL,
            "the node failed to answer",
            ExecutionStatus.UNKNOWN,
            true,
            1_000L);
    return response(500, error);
  }

  /** Returns the response for an error of the node. */
  static ApiResponse response(int status, RequestError error) {
    ObjectNode body = json(status, error);
    return ApiResponse.problem(status, body, retryHeader(error));
  }

  /** Returns the problem members of an error. */
  static ObjectNode json(int status, RequestError error) {
    String step = text(error.step());
    ObjectNode json =
        JsonNodeFactory.instance
            .objectNode()
            .put("type", "urn:bambootray:problem:" + step)
            .put("title", HttpResponseStatus.valueOf(status).reasonPhrase())
            .put("status", status)
            .put("detail", error.message())
            .put("step", step)
            .put("peer", error.peer())
            .put("ran", text(error.ran()))
            .put("retryable", error.retryable());
    Long retryAfterMs = error.retryAfterMs();
    if (retryAfterMs != null) {
      json.put("retryAfterMs", retryAfterMs);
    }
    return json;
  }

  private static Map<String, String> retryHeader(RequestError error) {
    Long retryAfterMs = error.retryAfterMs();
    return retryAfterMs == null
        ? Map.of()
        : Map.of("retry-after", Long.toString(Math.max(1, (retryAfterMs + 999) / 1_000)));
  }

  private static String text(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
