package dev.bambootray.demo;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.Guarantee;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.declaration.WorkspaceDeclaration;
import dev.bambootray.core.model.Shape;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.documents.RequestKind;
import dev.bambootray.documents.RequestMix;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Sends requests of a mix and keeps what becomes of them. */
final class LoadRun {
  private final HttpClient client;
  private final Supplier<Integer> ports;
  private final Declaration declaration;
  private final RequestMix mix;
  private final UniformRandomProvider random;
  private final List<CompletableFuture<CallerOutcome>> outcomes = new ArrayList<>();
  private final Map<WorkspaceId, AtomicInteger> openGangs = new ConcurrentHashMap<>();
  private final AtomicInteger ended = new AtomicInteger();

  LoadRun(
      HttpClient client,
      Supplier<Integer> ports,
      Declaration declaration,
      RequestMix mix,
      UniformRandomProvider random) {
    this.client = client;
    this.ports = ports;
    this.declaration = declaration;
    this.mix = mix;
    this.random = random;
  }

  /** Sends one more request. */
  void sendOne() {
    RequestKind kind = mix.pick(random);
    String key = "demo-" + outcomes.size();
    boolean gang = !templateIsServiceRequest(kind);
    AtomicInteger open =
        openGangs.computeIfAbsent(kind.workspace(), workspace -> new AtomicInteger());
    boolean claim = gang && kind.urgent() && open.get() == 0 && isGuaranteed(kind);
    if (gang) {
      open.incrementAndGet();
    }
    outcomes.add(
        Caller.send(client, ports, kind, key, kind.parametersJson(random), claim)
            .whenComplete(
                (outcome, failure) -> {
                  ended.incrementAndGet();
                  if (gang) {
                    open.decrementAndGet();
                  }
                }));
  }

  int sent() {
    return outcomes.size();
  }

  int ended() {
    return ended.get();
  }

  /** Waits until every caller has its answer or has given up. */
  List<CallerOutcome> await() {
    return outcomes.stream().map(CompletableFuture::join).toList();
  }

  private boolean templateIsServiceRequest(RequestKind kind) {
    return shapeOf(kind).acceleratorsPerMember() == 0;
  }

  /** Returns whether the shape fits a guarantee of the workspace in every region that has one. */
  private boolean isGuaranteed(RequestKind kind) {
    WorkspaceDeclaration workspace = declaration.workspaces().get(kind.workspace());
    Shape shape = shapeOf(kind);
    return workspace != null
        && declaration.regions().keySet().stream()
            .allMatch(
                region ->
                    workspace.guarantees().stream()
                        .filter(guarantee -> guarantee.region().equals(region))
                        .map(Guarantee::shape)
                        .anyMatch(guaranteed -> covers(guaranteed, shape)));
  }

  private Shape shapeOf(RequestKind kind) {
    TemplateDeclaration template = declaration.templates().get(kind.template());
    if (template == null) {
      throw new IllegalArgumentException(
          "the mix names the undeclared template " + kind.template());
    }
    return template.shape();
  }

  private static boolean covers(Shape guaranteed, Shape wanted) {
    return wanted.members() <= guaranteed.members()
        && wanted.acceleratorsPerMember() <= guaranteed.acceleratorsPerMember()
        && wanted.millicoresPerMember() <= guaranteed.millicoresPerMember()
        && wanted.memoryMibPerMember() <= guaranteed.memoryMibPerMember()
        && guaranteed.adjacency().compareTo(wanted.adjacency()) <= 0;
  }
}
