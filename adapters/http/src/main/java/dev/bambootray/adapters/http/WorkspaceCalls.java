package dev.bambootray.adapters.http;

import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.ports.api.ListQuery;
import dev.bambootray.ports.api.NodeApi;
import dev.bambootray.ports.api.RequestView;
import io.vavr.control.Either;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** The calls below {@code /v1/workspaces/{workspace}/requests}. */
final class WorkspaceCalls {
  private static final long DEFAULT_SUBMIT_WAIT_MS = 30_000;
  private static final int DEFAULT_PAGE = 100;
  private static final int MAX_PAGE = 500;

  private final NodeApi api;
  private final long maxWaitMs;

  WorkspaceCalls(NodeApi api, long maxWaitMs) {
    this.api = api;
    this.maxWaitMs = maxWaitMs;
  }

  Either<ApiResponse, PendingResponse> submit(WorkspaceId workspace, ApiRequest request) {
    return request
        .onlyQuery("waitMs")
        .flatMap(same -> same.queryNumber("waitMs", DEFAULT_SUBMIT_WAIT_MS, 0, maxWaitMs))
        .flatMap(waitMs -> SubmitReader.read(workspace, request, waitMs))
        .map(
            command ->
                PendingResponse.of(
                    api.submit(command), ErrorStatus::ofSubmit, WorkspaceCalls::submitted));
  }

  Either<ApiResponse, PendingResponse> read(RequestKey key, ApiRequest request) {
    return request
        .onlyQuery("waitMs")
        .flatMap(same -> same.queryNumber("waitMs", 0, 0, maxWaitMs))
        .map(
            waitMs ->
                PendingResponse.of(
                    api.read(key, waitMs), ErrorStatus::ofLookup, WorkspaceCalls::view));
  }

  Either<ApiResponse, PendingResponse> cancel(RequestKey key, ApiRequest request) {
    return request
        .onlyQuery()
        .map(
            same ->
                PendingResponse.of(api.cancel(key), ErrorStatus::ofLookup, WorkspaceCalls::view));
  }

  Either<ApiResponse, PendingResponse> explain(RequestKey key, ApiRequest request) {
    return request
        .onlyQuery()
        .map(
            same ->
                PendingResponse.of(
                    api.explain(key),
                    ErrorStatus::ofLookup,
                    explanation -> ApiResponse.json(200, ViewJson.explanation(explanation))));
  }

  Either<ApiResponse, PendingResponse> list(WorkspaceId workspace, ApiRequest request) {
    return request
        .onlyQuery("state", "template", "after", "limit")
        .flatMap(same -> query(workspace, same))
        .map(
            query ->
                PendingResponse.of(
                    api.list(query),
                    ErrorStatus::ofLookup,
                    page -> ApiResponse.json(200, ViewJson.page(page))));
  }

  private static Either<ApiResponse, ListQuery> query(WorkspaceId workspace, ApiRequest request) {
    Either<ApiResponse, RequestView.@Nullable State> state = state(request.queryText("state"));
    if (state.isLeft()) {
      return Either.left(state.getLeft());
    }
    String templateText = request.queryText("template");
    Either<ApiResponse, @Nullable TemplateId> template =
        templateText == null
            ? Either.right(null)
            : Texts.identifier("query parameter \"template\"", templateText, TemplateId::of);
    if (template.isLeft()) {
      return Either.left(template.getLeft());
    }
    return request
        .queryNumber("limit", DEFAULT_PAGE, 1, MAX_PAGE)
        .map(
            limit ->
                new ListQuery(
                    workspace,
                    state.get(),
                    template.get(),
                    request.queryText("after"),
                    limit.intValue()));
  }

  private static Either<ApiResponse, RequestView.@Nullable State> state(@Nullable String text) {
    if (text == null) {
      return Either.right(null);
    }
    for (RequestView.State state : RequestView.State.values()) {
      if (state.name().toLowerCase(Locale.ROOT).equals(text)) {
        return Either.right(state);
      }
    }
    return Either.left(
        Problems.badRequest(
            "query parameter \"state\" is \""
                + Texts.quote(text)
                + "\": expected accepted, intent or answered"));
  }

  private static ApiResponse submitted(RequestView view) {
    return ApiResponse.json(view.answer() == null ? 202 : 200, ViewJson.request(view));
  }

  private static ApiResponse view(RequestView view) {
    return ApiResponse.json(200, ViewJson.request(view));
  }
}
