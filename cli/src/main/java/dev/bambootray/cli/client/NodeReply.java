package dev.bambootray.cli.client;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A node's reply to a call.
 *
 * @param status the HTTP status
 * @param json the body; a missing node if it is not JSON
 */
public record NodeReply(int status, JsonNode json) {

  /** Returns whether the call succeeded. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /** Returns whether the node asks to try again later or elsewhere. */
  public boolean isRefusal() {
    return status == 429 || status == 503;
  }
}
