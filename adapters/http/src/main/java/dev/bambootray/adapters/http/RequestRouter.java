package dev.bambootray.adapters.http;

/** Answers the requests of a server. Called on an event loop; must not block. */
@FunctionalInterface
public interface RequestRouter {

  /** Returns the response to a request, which may follow later. */
  PendingResponse route(ApiRequest request);
}
