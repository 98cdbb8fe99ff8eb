package dev.bambootray.adapters.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.ports.api.NodeApi;
import dev.bambootray.ports.api.PublishResult;
import io.vavr.control.Either;
import java.util.Map;

/** The calls of operators. */
final class OperatorCalls {
  private static final long DEFAULT_EVENT_WAIT_MS = 10_000;
  private static final int DEFAULT_HISTORY = 20;
  private static final int MAX_HISTORY = 1_000;
  private static final int MAX_AUTHOR_CHARS = 128;

  private final NodeApi api;
  private final long maxWaitMs;

  OperatorCalls(NodeApi api, long maxWaitMs) {
    this.api = api;
    this.maxWaitMs = maxWaitMs;
  }

  Either<ApiResponse, PendingResponse> declaration(ApiRequest request) {
    return request
        .onlyQuery()
        .map(
            same ->
                PendingResponse.of(
                    api.declaration(),
                    ErrorStatus::ofLookup,
                    text -> ApiResponse.json(200, ViewJson.declaration(text))));
  }

  Either<ApiResponse, PendingResponse> declaration(String version, ApiRequest request) {
    return request
        .onlyQuery()
        .flatMap(same -> Texts.number("version", version, 0, Long.MAX_VALUE))
        .map(
            number ->
                PendingResponse.of(
                    api.declaration(number),
                    ErrorStatus::ofLookup,
                    text -> ApiResponse.json(200, ViewJson.declaration(text))));
  }

  Either<ApiResponse, PendingResponse> history(ApiRequest request) {
    return request
        .onlyQuery("limit")
        .flatMap(same -> same.queryNumber("limit", DEFAULT_HISTORY, 1, MAX_HISTORY))
        .map(
            limit ->
                PendingResponse.of(
                    api.history(limit.intValue()),
                    ErrorStatus::ofLookup,
                    list -> {
                      ObjectNode body = ViewJson.object();
                      body.set("history", ViewJson.array(list, ViewJson::declaration));
                      return ApiResponse.json(200, body);
                    }));
  }

  Either<ApiResponse, PendingResponse> publish(ApiRequest request) {
    String expected = request.ifMatch();
    if (expected == null) {
      return Either.left(
          Problems.badRequest("header If-Match is missing: expected the version that was read"));
    }
    if (request.author().length() > MAX_AUTHOR_CHARS) {
      return Either.left(Problems.badRequest("header X-Author: expected at most 128 characters"));
    }
    return request
        .onlyQuery()
        .flatMap(same -> Texts.number("header If-Match", unquote(expected), 0, Long.MAX_VALUE))
        .map(
            version ->
                PendingResponse.of(
                    api.publish(version, request.body(), request.author()),
                    ErrorStatus::ofLookup,
                    OperatorCalls::published));
  }

  Either<ApiResponse, PendingResponse> status(ApiRequest request) {
    return request
        .onlyQuery()
        .map(
            same ->
                PendingResponse.of(
                    api.status(), status -> ApiResponse.json(200, ViewJson.status(status))));
  }

  Either<ApiResponse, PendingResponse> events(ApiRequest request) {
    return request
        .onlyQuery("after", "waitMs")
        .flatMap(same -> same.queryNumber("after", 0, 0, Long.MAX_VALUE))
        .flatMap(
            after ->
                request
                    .queryNumber("waitMs", DEFAULT_EVENT_WAIT_MS, 0, maxWaitMs)
                    .map(
                        waitMs ->
                            PendingResponse.of(
                                api.events(after, waitMs),
                                page -> ApiResponse.json(200, ViewJson.events(page)))));
  }

  Either<ApiResponse, PendingResponse> drainNode(ApiRequest request) {
    return request
        .onlyQuery()
        .map(
            same ->
                PendingResponse.of(api.drainNode(), ErrorStatus::ofLookup, done -> draining(true)));
  }

  Either<ApiResponse, PendingResponse> drainWorker(
      String worker, boolean drain, ApiRequest request) {
    return request
        .onlyQuery()
        .flatMap(same -> Texts.identifier("worker", worker, WorkerId::of))
        .map(
            id ->
                PendingResponse.of(
                    api.drainWorker(id, drain), ErrorStatus::ofLookup, done -> draining(drain)));
  }

  private static ApiResponse draining(boolean drain) {
    return ApiResponse.json(202, ViewJson.object().put("draining", drain));
  }

  private static ApiResponse published(PublishResult result) {
    if (result instanceof PublishResult.Accepted accepted) {
      return ApiResponse.json(
          200, ViewJson.object().put("version", accepted.version()).put("accepted", true));
    }
    if (result instanceof PublishResult.Committed committed) {
      ObjectNode body =
          ViewJson.object().put("version", committed.version()).put("accepted", false);
      body.set("missing", ViewJson.array(committed.missing(), TextNode::valueOf));
      return ApiResponse.json(202, body);
    }
    if (result instanceof PublishResult.LostRace race) {
      ObjectNode body = problem(412, "another version was published since the one that was read");
      body.set("current", ViewJson.declaration(race.current()));
      return ApiResponse.problem(412, body, Map.of());
    }
    PublishResult.Invalid invalid = (PublishResult.Invalid) result;
    ObjectNode body = problem(422, "the declaration is wrong; nothing was written");
    body.set("problems", ViewJson.array(invalid.problems(), TextNode::valueOf));
    return ApiResponse.problem(422, body, Map.of());
  }

  private static ObjectNode problem(int status, String detail) {
    return Problems.json(
        status, RequestError.impossible(RequestStep.CONFIGURATION, Problems.LOCAL, detail));
  }

  private static String unquote(String text) {
    boolean quoted = text.length() >= 2 && text.startsWith("\"") && text.endsWith("\"");
    return quoted ? text.substring(1, text.length() - 1) : text;
  }
}
