package dev.bambootray.cli.verb;

import dev.bambootray.cli.CliEnvironment;
import dev.bambootray.cli.CliFailure;
import dev.bambootray.cli.client.NodeSession;
import dev.bambootray.cli.client.TrustedCertificates;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.TextFiles;
import io.vavr.control.Either;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import javax.net.ssl.SSLContext;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;

/** Options that say which nodes are called and with which token. */
final class ConnectionOptions {
  private static final int MAX_TOKEN_BYTES = 4096;
  private static final Pattern TOKEN = Pattern.compile("[!-~]+");
  private static final String DEFAULT_NODE = "127.0.0.1:8080";

  @Option(
      names = "--node",
      paramLabel = "HOST:PORT",
      split = ",",
      description = {
        "HTTP address of a node; may be repeated. The next one is tried when one can't be reached.",
        "Variable BAMBOOTRAY_NODE; default " + DEFAULT_NODE + "."
      })
  private List<String> nodes = new ArrayList<>();

  @Option(
      names = "--token-file",
      paramLabel = "FILE",
      description = "File with the bearer token. Variable BAMBOOTRAY_TOKEN_FILE.")
  private @Nullable String tokenFile;

  @Option(
      names = "--trust-file",
      paramLabel = "FILE",
      description = "PEM certificates to trust for https nodes. Variable BAMBOOTRAY_TRUST_FILE.")
  private @Nullable String trustFile;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = {
        "JSON file with nodes, tokenFile, trustFile and workspace.",
        "Variable BAMBOOTRAY_CONFIG; default .config/bambootray/cli.json in the home directory."
      })
  private @Nullable String configFile;

  /** Returns the defaults of the tool's own file, or none if there is no such file. */
  Either<CliFailure, CliConfig> config(CliEnvironment environment) {
    String named = first(configFile, environment.variables().get("BAMBOOTRAY_CONFIG"));
    if (named != null) {
      return path(named).flatMap(CliConfig::read);
    }
    Path usual = environment.home().resolve(Path.of(".config", "bambootray", "cli.json"));
    return Files.exists(usual) ? CliConfig.read(usual) : Either.right(CliConfig.none());
  }

  /** Returns a session with the nodes. */
  Either<CliFailure, NodeSession> open(CliEnvironment environment) {
    return config(environment).flatMap(config -> open(environment, config));
  }

  private Either<CliFailure, NodeSession> open(CliEnvironment environment, CliConfig config) {
    List<String> urls = nodes(environment, config).stream().map(ConnectionOptions::url).toList();
    String token =
        first(tokenFile, environment.variables().get("BAMBOOTRAY_TOKEN_FILE"), config.tokenFile());
    String trust =
        first(trustFile, environment.variables().get("BAMBOOTRAY_TRUST_FILE"), config.trustFile());
    Either<CliFailure, String> tokenText = token == null ? Either.right("") : readToken(token);
    return tokenText.flatMap(
        text ->
            trust == null
                ? Either.right(session(environment, null, urls, text))
                : path(trust)
                    .flatMap(ConnectionOptions::trusted)
                    .map(context -> session(environment, context, urls, text)));
  }

  private static NodeSession session(
      CliEnvironment environment, @Nullable SSLContext context, List<String> urls, String token) {
    return NodeSession.of(environment.clients().apply(context), urls, token);
  }

  private static Either<CliFailure, SSLContext> trusted(Path file) {
    return TrustedCertificates.load(file)
        .mapLeft(line -> CliFailure.of(ExitCode.INVALID_SETTINGS, line));
  }

  private List<String> nodes(CliEnvironment environment, CliConfig config) {
    if (!nodes.isEmpty()) {
      return nodes;
    }
    String variable = environment.variables().get("BAMBOOTRAY_NODE");
    if (variable != null && !variable.isBlank()) {
      return List.of(variable.trim().split("\\s*,\\s*"));
    }
    return config.nodes().isEmpty() ? List.of(DEFAULT_NODE) : config.nodes();
  }

  private static String url(String node) {
    String url = node.contains("://") ? node : "http://" + node;
    return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
  }

  private static Either<CliFailure, String> readToken(String file) {
    return path(file)
        .flatMap(
            path ->
                TextFiles.read(path, MAX_TOKEN_BYTES)
                    .mapLeft(line -> CliFailure.of(ExitCode.INVALID_SETTINGS, line)))
        .map(String::strip)
        .filterOrElse(
            text -> TOKEN.matcher(text).matches(),
            text ->
                CliFailure.of(
                    ExitCode.INVALID_SETTINGS,
                    file
                        + ": found no token, expected one line of printable ASCII without spaces"));
  }

  private static Either<CliFailure, Path> path(String name) {
    try {
      return Either.right(Path.of(name));
    } catch (InvalidPathException e) {
      return Either.left(CliFailure.of(ExitCode.USAGE, "not the name of a file: " + name));
    }
  }

  static @Nullable String first(@Nullable String... values) {
    for (String value : values) {
      if (value != null && !value.isBlank()) {
        return value;
      }
    }
    return null;
  }
}
