package dev.bambootray.ports.api;

import java.util.List;

/**
 * A page of a node's recent events, for clients that follow them live.
 *
 * @param events the events, oldest first
 * @param nextAfter sequence number to continue after
 */
public record EventPage(List<Event> events, long nextAfter) {

  /** Copies the events. */
  public EventPage {
    events = List.copyOf(events);
  }

  /**
   * An event that concerns a request, worker, region or declaration.
   *
   * @param sequence number that increases by one with each event of the node
   * @param atMs time of the event, in milliseconds since the epoch
   * @param kind for example {@code accepted}, {@code started}, {@code answered}, {@code waiting}
   * @param subject the request, worker, region or version
   * @param detail description in one sentence
   */
  public record Event(long sequence, long atMs, String kind, String subject, String detail) {}
}
