package dev.bambootray.documents;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import dev.bambootray.documents.json.JsonTreeReader;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A weighted list of kinds of requests, from which load is drawn.
 *
 * @param kinds the kinds, at least one
 */
public record RequestMix(List<RequestKind> kinds) {
  private static final int MAX_BYTES = 1024 * 1024;
  private static final double MAX_SHARE = 1_000_000;
  private static final double MIN_SHARE = 0.000_001;
  private static final long MAX_DEADLINE_MS = 30L * 24 * 3_600_000;

  /** Copies the kinds. */
  public RequestMix {
    kinds = List.copyOf(kinds);
  }

  /** Returns a kind, drawn with its share of the sum of all shares. */
  public RequestKind pick(UniformRandomProvider random) {
    double sum = kinds.stream().mapToDouble(RequestKind::share).sum();
    double rest = random.nextDouble() * sum;
    for (RequestKind kind : kinds) {
      rest -= kind.share();
      if (rest < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  /**
   * Reads a mix and checks it against the declaration that it is for; the left side has one line
   * for each error.
   */
  public static Either<List<String>, RequestMix> read(
      String file, String text, Declaration declaration) {
    Problems problems = Problems.of(file);
    Optional<JsonValue> root = JsonTreeReader.read(text, MAX_BYTES, problems);
    if (root.isEmpty()) {
      return Either.left(problems.lines());
    }
    ObjectCursor document = ObjectCursor.of(root.get(), "", problems);
    List<RequestKind> kinds = new ArrayList<>();
    for (ObjectCursor kind : document.objects("kinds")) {
      readKind(kind, declaration, problems).ifPresent(kinds::add);
    }
    document.finish();
    if (kinds.isEmpty() && problems.isEmpty()) {
      document.reject("kinds", "no kind of request", "at least one");
    }
    return problems.isEmpty() ? Either.right(new RequestMix(kinds)) : Either.left(problems.lines());
  }

  private static Optional<RequestKind> readKind(
      ObjectCursor kind, Declaration declaration, Problems problems) {
    int before = problems.count();
    String workspace = kind.identifier("workspace");
    String template = kind.identifier("template");
    double share = kind.number("share", MIN_SHARE, MAX_SHARE, 1);
    boolean repeatable = kind.flag("repeatable", true);
    boolean urgent = kind.flag("urgent", false);
    long deadlineMs = kind.whole("deadlineMs", 1, MAX_DEADLINE_MS);
    List<ParameterSource> parameters =
        ParameterSource.readAll(kind.objectOrEmpty("parameters"), problems);
    kind.finish();
    if (problems.count() != before) {
      return Optional.empty();
    }
    if (!declaration.workspaces().containsKey(WorkspaceId.of(workspace))) {
      kind.reject("workspace", "\"" + workspace + "\"", "a workspace of the declaration");
    }
    TemplateDeclaration declared = declaration.templates().get(TemplateId.of(template));
    if (declared == null) {
      kind.reject("template", "\"" + template + "\"", "a template of the declaration");
      return Optional.empty();
    }
    RequestKind read =
        new RequestKind(
            WorkspaceId.of(workspace),
            TemplateId.of(template),
            share,
            repeatable,
            urgent,
            deadlineMs,
            parameters);
    for (String extreme : List.of(read.smallestParametersJson(), read.largestParametersJson())) {
      ParameterChecker.check(declared.parameters(), extreme)
          .peekLeft(
              lines ->
                  kind.reject(
                      "parameters", extreme, "parameters of the template: " + lines.get(0)));
    }
    return Optional.of(read);
  }
}
