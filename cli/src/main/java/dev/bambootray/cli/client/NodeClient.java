package dev.bambootray.cli.client;

import io.vavr.control.Either;

/** Sends one call to one node. */
@FunctionalInterface
public interface NodeClient {

  /**
   * Returns the reply of the node, or one sentence that says why there is none.
   *
   * @param node base URL of the node, for example {@code http://10.0.0.1:8080}
   * @param token the bearer token, empty for none
   * @param call the call
   */
  Either<String, NodeReply> call(String node, String token, NodeCall call);
}
