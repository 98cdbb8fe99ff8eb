package dev.bambootray.ports.api;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One page of a listing.
 *
 * @param requests the requests
 * @param nextAfterKey idempotency key to continue after, or null on the last page
 */
public record RequestPage(List<RequestView> requests, @Nullable String nextAfterKey) {

  /** Copies the requests. */
  public RequestPage {
    requests = List.copyOf(requests);
  }
}
