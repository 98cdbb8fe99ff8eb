package dev.bambootray.core.routing;

import dev.bambootray.core.scheduling.Explanation;
import java.util.ArrayList;
import java.util.List;

/** Explains what a request waits for or where it runs. */
final class RequestExplanation {
  private RequestExplanation() {}

  static Explanation explain(RouterState state, PendingRequest request, long nowMs) {
    return switch (request.state) {
      case QUEUED -> queued(state, request);
      case BACKOFF -> waiting(request, "it waits before its next run", request.dueAtMs - nowMs);
      case INTENT -> running(request, "reserving", "its intent to run is being recorded");
      case RUNNING -> running(request, "running", runReason(request, nowMs));
      case ANSWERED -> waiting(request, "it has its answer", -1);
    };
  }

  private static Explanation queued(RouterState state, PendingRequest request) {
    ServicePool pool = request.pool;
    int position = pool.queue.positionOf(request);
    int open = 0;
    List<String> closed = new ArrayList<>();
    for (Target target : pool.targets) {
      if (target.isOpen()) {
        open++;
      } else {
        closed.add(target.worker + " " + closedBecause(target));
      }
    }
    String reason =
        open == 0
            ? "no target of service " + pool.service.id() + " is open"
            : "all " + pool.capacity() + " usable slots of " + open + " targets are taken";
    List<String> startsIf = new ArrayList<>();
    startsIf.add("a slot of service " + pool.service.id() + " becomes free");
    closed.forEach(text -> startsIf.add("no longer: " + text));
    double ahead =
        Math.min(
            pool.queue.requestsAhead(
                request.key().workspace(), state.weightOf(request.key().workspace())),
            pool.queue.size());
    return new Explanation(
        request.key(),
        "queued",
        position,
        reason,
        List.of("a slot of service " + pool.service.id()),
        startsIf,
        pool.capacity() == 0 ? -1 : pool.expectedWaitMs(ahead));
  }

  private static String closedBecause(Target target) {
    if (!target.isJoined()) {
      return "is not adopted";
    }
    if (target.isLeaving()) {
      return "is leaving";
    }
    if (target.isUnreachable()) {
      return "does not answer probes";
    }
    return target.isEjected()
        ? "is ejected because its runs failed"
        : "refused for lack of capacity";
  }

  private static String runReason(PendingRequest request, long nowMs) {
    StringBuilder text = new StringBuilder();
    for (Run run : request.runs) {
      text.append(text.length() == 0 ? "it runs on " : " and on ").append(run.target.worker);
      text.append(" for ").append(nowMs - run.sentAtMs).append(" ms");
      if (run.phase == Run.Phase.UNKNOWN) {
        text.append(" (connection lost, its status is being queried)");
      }
    }
    return text.toString();
  }

  private static Explanation running(PendingRequest request, String state, String reason) {
    return new Explanation(request.key(), state, 0, reason, List.of(), List.of(), 0);
  }

  private static Explanation waiting(PendingRequest request, String reason, long startInMs) {
    return new Explanation(
        request.key(), "queued", 0, reason, List.of(), List.of(), Math.max(-1, startInMs));
  }
}
