package dev.bambootray.documents;

import dev.bambootray.core.configuration.DeclarationReader;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.PolicyDeclaration;
import dev.bambootray.documents.json.JsonTreeReader;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problem;
import dev.bambootray.documents.json.Problems;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Parses declarations from JSON with comments and reports every error at once.
 *
 * <p>The format is described in {@code docs/reference/declarations.md}.
 */
public final class DeclarationParser implements DeclarationReader {
  private static final String DEFAULT_FILE = "declaration";
  private static final long MAX_MS = 365L * 24 * 3_600_000;

  private final Function<Declaration, List<String>> check;

  private DeclarationParser(Function<Declaration, List<String>> check) {
    this.check = check;
  }

  /** Returns a parser. */
  public static DeclarationParser create() {
    return new DeclarationParser(declaration -> List.of());
  }

  /**
   * Returns a parser that also refuses declarations for which the check returns errors, one line
   * each. The check sees only declarations without other errors.
   */
  public DeclarationParser withCheck(Function<Declaration, List<String>> newCheck) {
    return new DeclarationParser(newCheck);
  }

  @Override
  public Either<List<String>, Declaration> read(String text, long version) {
    return read(DEFAULT_FILE, text, version);
  }

  /** Reads a declaration and names the given file in its errors. */
  public Either<List<String>, Declaration> read(String file, String text, long version) {
    Problems problems = Problems.of(file);
    Optional<Declaration> declaration = read(text, version, problems);
    return declaration.isPresent()
        ? Either.right(declaration.get())
        : Either.left(problems.lines());
  }

  /** Reads a declaration and returns its errors in parts. */
  public Either<List<Problem>, Declaration> check(String file, String text, long version) {
    Problems problems = Problems.of(file);
    Optional<Declaration> declaration = read(text, version, problems);
    return declaration.isPresent() ? Either.right(declaration.get()) : Either.left(problems.list());
  }

  private Optional<Declaration> read(String text, long version, Problems problems) {
    Optional<JsonValue> root = JsonTreeReader.read(text, problems);
    if (root.isEmpty()) {
      return Optional.empty();
    }
    ObjectCursor document = ObjectCursor.of(root.get(), "", problems);
    DeclaredIds ids = DeclaredIds.collect(root.get(), problems);
    RegionSection regions = RegionSection.read(document, ids, problems);
    WorkerSection workers = WorkerSection.read(document, ids, regions, problems);
    CapacityCheck capacity = CapacityCheck.of(workers.workers());
    var services = ServiceSection.read(document, problems);
    var workspaces = WorkspaceSection.read(document, ids, capacity, problems);
    var templates = TemplateSection.read(document, ids, problems);
    PolicyDeclaration policy = readPolicy(document.objectOrEmpty("policy"));
    document.finish();
    if (!problems.isEmpty()) {
      return Optional.empty();
    }
    Declaration declaration =
        new Declaration(
            version, regions.regions(), services, workers.workers(), workspaces, templates, policy);
    check.apply(declaration).forEach(line -> problems.add(root.get().place(), line));
    return problems.isEmpty() ? Optional.of(declaration) : Optional.empty();
  }

  private static PolicyDeclaration readPolicy(ObjectCursor policy) {
    PolicyDeclaration defaults = PolicyDeclaration.defaults();
    PolicyDeclaration read =
        new PolicyDeclaration(
            policy.number("completionTimeWeight", 0, 1, defaults.completionTimeWeight()),
            policy.number("fragmentationWeight", 0, 1, defaults.fragmentationWeight()),
            policy.whole("shareHalfLifeMs", 1, MAX_MS, defaults.shareHalfLifeMs()),
            policy.whole("ageingMs", 1, MAX_MS, defaults.ageingMs()),
            policy.number("ejectionMaxShare", 0, 1, defaults.ejectionMaxShare()),
            policy.number("retryBudgetShare", 0, 1, defaults.retryBudgetShare()),
            policy.number("hedgeAfterQuantile", 0, 1, defaults.hedgeAfterQuantile()),
            policy.whole("spillHysteresisMs", 0, MAX_MS, defaults.spillHysteresisMs()));
    policy.finish();
    return read;
  }
}
