package dev.bambootray.adapters.http;

import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestStep;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.ports.api.NodeApi;
import dev.bambootray.ports.api.Principal;
import io.vavr.control.Either;
import java.util.List;
import java.util.function.Function;

/** Finds the call that a path names and checks whether the caller may make it. */
final class ApiRouter implements RequestRouter {
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String TEXT_TYPE = "text/plain; charset=utf-8";

  private final NodeApi api;
  private final NodeProbes probes;
  private final WorkspaceCalls workspaceCalls;
  private final OperatorCalls operatorCalls;

  ApiRouter(NodeApi api, NodeProbes probes, long maxWaitMs) {
    this.api = api;
    this.probes = probes;
    workspaceCalls = new WorkspaceCalls(api, maxWaitMs);
    operatorCalls = new OperatorCalls(api, maxWaitMs);
  }

  @Override
  public PendingResponse route(ApiRequest request) {
    List<String> path = request.path();
    if (path.size() == 1) {
      return PendingResponse.now(probe(request));
    }
    if (!path.get(0).equals("v1")) {
      return PendingResponse.now(notFound());
    }
    Either<ApiResponse, PendingResponse> pending =
        authenticate(request)
            .flatMap(
                principal ->
                    path.get(1).equals("workspaces")
                        ? routeWorkspace(principal, request)
                        : routeOperator(principal, request));
    return pending.getOrElseGet(PendingResponse::now);
  }

  private ApiResponse probe(ApiRequest request) {
    String name = request.path().get(0);
    if (!List.of("healthz", "readyz", "metrics").contains(name)) {
      return notFound();
    }
    if (!request.method().equals("GET")) {
      return methodNotAllowed();
    }
    if (name.equals("metrics")) {
      return ApiResponse.text(200, METRICS_TYPE, probes.metrics().get());
    }
    String reason =
        name.equals("healthz") ? probes.unhealthyReason().get() : probes.notReadyReason().get();
    return ApiResponse.text(
        reason.isEmpty() ? 200 : 503, TEXT_TYPE, reason.isEmpty() ? "ok\n" : reason + "\n");
  }

  private Either<ApiResponse, Principal> authenticate(ApiRequest request) {
    return api.authenticate(request.token())
        .mapLeft(error -> Problems.response(error.retryable() ? 503 : 401, error));
  }

  private Either<ApiResponse, PendingResponse> routeWorkspace(
      Principal principal, ApiRequest request) {
    List<String> path = request.path();
    if (path.size() < 4 || path.size() > 6 || !path.get(3).equals("requests")) {
      return Either.left(notFound());
    }
    return Texts.identifier("workspace", path.get(2), WorkspaceId::of)
        .flatMap(
            workspace ->
                principal.mayAccess(workspace)
                    ? routeRequests(workspace, request)
                    : Either.left(forbidden("the token is not of this workspace")));
  }

  private Either<ApiResponse, PendingResponse> routeRequests(
      WorkspaceId workspace, ApiRequest request) {
    List<String> path = request.path();
    if (path.size() == 4) {
      return switch (request.method()) {
        case "POST" -> workspaceCalls.submit(workspace, request);
        case "GET" -> workspaceCalls.list(workspace, request);
        default -> Either.left(methodNotAllowed());
      };
    }
    Either<ApiResponse, RequestKey> key =
        Texts.identifier("key", path.get(4), text -> new RequestKey(workspace, text));
    if (path.size() == 5) {
      return switch (request.method()) {
        case "GET" -> key.flatMap(found -> workspaceCalls.read(found, request));
        case "DELETE" -> key.flatMap(found -> workspaceCalls.cancel(found, request));
        default -> Either.left(methodNotAllowed());
      };
    }
    if (!path.get(5).equals("explanation")) {
      return Either.left(notFound());
    }
    return only(
        "GET", request, same -> key.flatMap(found -> workspaceCalls.explain(found, request)));
  }

  private Either<ApiResponse, PendingResponse> routeOperator(
      Principal principal, ApiRequest request) {
    if (!principal.operator()) {
      return Either.left(forbidden("only the operator token may make this call"));
    }
    List<String> path = request.path();
    return switch (path.get(1) + path.size()) {
      case "declaration2" ->
          request.method().equals("PUT")
              ? operatorCalls.publish(request)
              : only("GET", request, operatorCalls::declaration);
      case "declaration3" ->
          path.get(2).equals("history")
              ? only("GET", request, operatorCalls::history)
              : Either.left(notFound());
      case "declaration4" ->
          path.get(2).equals("history")
              ? only("GET", request, same -> operatorCalls.declaration(path.get(3), same))
              : Either.left(notFound());
      case "status2" -> only("GET", request, operatorCalls::status);
      case "events2" -> only("GET", request, operatorCalls::events);
      case "node3" ->
          path.get(2).equals("drain")
              ? only("POST", request, operatorCalls::drainNode)
              : Either.left(notFound());
      case "workers4" -> routeWorker(path.get(2), path.get(3), request);
      default -> Either.left(notFound());
    };
  }

  private Either<ApiResponse, PendingResponse> routeWorker(
      String worker, String verb, ApiRequest request) {
    if (!verb.equals("drain") && !verb.equals("resume")) {
      return Either.left(notFound());
    }
    return only(
        "POST", request, same -> operatorCalls.drainWorker(worker, verb.equals("drain"), same));
  }

  private static Either<ApiResponse, PendingResponse> only(
      String method,
      ApiRequest request,
      Function<ApiRequest, Either<ApiResponse, PendingResponse>> call) {
    return request.method().equals(method) ? call.apply(request) : Either.left(methodNotAllowed());
  }

  private static ApiResponse notFound() {
    return Problems.local(404, RequestStep.ADMISSION, "no such call");
  }

  private static ApiResponse methodNotAllowed() {
    return Problems.local(405, RequestStep.ADMISSION, "the call does not exist with this method");
  }

  private static ApiResponse forbidden(String detail) {
    return Problems.response(
        403, RequestError.impossible(RequestStep.AUTHENTICATION, Problems.LOCAL, detail));
  }
}
