package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.output.Console;
import dev.bambootray.cli.output.RequestText;
import dev.bambootray.documents.ExitCode;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits a request and waits for its answer. */
@Command(
    name = "submit",
    description = {
      "Submit a request and wait for its answer.",
      "If a node can't be reached, the next --node is tried with the same idempotency key.",
      "The same command with the same --key reconnects to the request."
    })
public final class SubmitVerb extends WorkspaceVerb {
  private static final long DEFAULT_DEADLINE_MS = 600_000;

  @Parameters(
      arity = "0..1",
      paramLabel = "FILE",
      description = "The request as JSON with comments; options take precedence.")
  private @Nullable Path file;

  @Option(names = "--template", paramLabel = "T", description = "The template.")
  private @Nullable String template;

  @Option(
      names = {"-p", "--param"},
      paramLabel = "NAME=VALUE",
      description = "A parameter; numbers, true and false are sent as such. May be repeated.")
  private Map<String, String> parameters = new LinkedHashMap<>();

  @Option(names = "--key", paramLabel = "KEY", description = "Idempotency key; default: a new one.")
  private @Nullable String key;

  @Option(
      names = "--deadline-ms",
      paramLabel = "MS",
      description = "Time until the answer is due, in milliseconds; default 600000.")
  private @Nullable Long deadlineMs;

  @Option(
      names = "--repeatable",
      negatable = true,
      description = "Whether it may run more than once; default: as the template says.")
  private @Nullable Boolean repeatable;

  @Option(names = "--urgent", description = "Claim guaranteed capacity at once.")
  private boolean urgent;

  @Option(
      names = "--wait-ms",
      paramLabel = "MS",
      description = "How long to wait for the answer; default: until the deadline. 0 for no wait.")
  private @Nullable Long waitMs;

  /** Returns the verb. */
  public SubmitVerb(CliEnvironment environment) {
    super(environment);
  }

  @Override
  Either<CliFailure, ExitCode> run(Console console, NodeSession session, String requestsPath) {
    Either<CliFailure, SubmitBody> given =
        file == null ? Either.right(SubmitBody.empty()) : SubmitBody.read(file);
    return given
        .map(this::complete)
        .filterOrElse(
            body -> !body.template().isEmpty(),
            body ->
                CliFailure.of(ExitCode.USAGE, "no template given: expected --template or a file"))
        .flatMap(body -> submit(console, session, requestsPath, body));
  }

  private SubmitBody complete(SubmitBody given) {
    String chosenKey = key != null ? key : given.key();
    long givenDeadlineMs = given.deadlineMs() > 0 ? given.deadlineMs() : DEFAULT_DEADLINE_MS;
    return new SubmitBody(
        template != null ? template : given.template(),
        parameters.isEmpty() ? given.parametersJson() : SubmitBody.parametersJson(parameters),
        chosenKey.isEmpty() ? environment().keys().get() : chosenKey,
        deadlineMs != null ? deadlineMs : givenDeadlineMs,
        repeatable != null ? repeatable : given.repeatable(),
        urgent || given.urgent());
  }

  private Either<CliFailure, ExitCode> submit(
      Console console, NodeSession session, String requestsPath, SubmitBody body) {
    if (key == null) {
      // The key is needed to reconnect if the tool is interrupted.
      console.note("key " + body.key());
    }
    long longestMs = waitMs != null ? waitMs : body.deadlineMs();
    return new SubmitFlow(environment(), session, requestsPath, body.key(), body.json(), longestMs)
        .run()
        .map(
            view -> {
              console.print(view, () -> RequestText.details(view));
              boolean onlyAccept = waitMs != null && waitMs == 0 && !RequestText.isAnswered(view);
              return onlyAccept ? ExitCode.OK : RequestText.exitCode(view);
            });
  }
}
