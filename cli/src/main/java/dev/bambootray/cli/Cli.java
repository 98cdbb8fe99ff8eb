package dev.bambootray.cli;

import dev.bambootray.cli.verb.ApplyVerb;
import dev.bambootray.cli.verb.CancelVerb;
import dev.bambootray.cli.verb.CompletionVerb;
import dev.bambootray.cli.verb.DiffVerb;
import dev.bambootray.cli.verb.DrainVerb;
import dev.bambootray.cli.verb.ExplainVerb;
import dev.bambootray.cli.verb.GetVerb;
import dev.bambootray.cli.verb.ListVerb;
import dev.bambootray.cli.verb.StatusVerb;
import dev.bambootray.cli.verb.SubmitVerb;
import dev.bambootray.cli.verb.ValidateVerb;
import dev.bambootray.cli.verb.WatchVerb;
import dev.bambootray.documents.ExitCode;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Help.Ansi;

/** The command-line tool: its verbs and how it turns their outcome into an exit code. */
public final class Cli {
  private static final int HELP_WIDTH = 100;
  private static final String VERSION = "bambootray 0.1.0-SNAPSHOT";

  private Cli() {}

  @Command(
      name = "bambootray",
      description = "Operates bambootray: configuration, requests, nodes and workers.",
      footer = {
        "",
        "Exit codes: 0 ok, 1 internal error, 2 usage, 3 invalid settings, 4 invalid declaration,",
        "5 port in use, 6 lost race, 7 not accepted yet, 8 request failed, 9 request unknown,",
        "10 not found, 11 unreachable, 12 unauthorized, 13 refused, 14 not answered yet.",
        "",
        "bin/bambootray also runs: demo, daemon."
      })
  private static final class Root {}

  /** Runs the tool and returns its exit code. */
  public static int run(CliEnvironment environment, String... arguments) {
    return commandLine(environment).execute(arguments);
  }

  /** Returns the verbs. */
  static CommandLine commandLine(CliEnvironment environment) {
    CommandLine root =
        new CommandLine(new Root())
            .addSubcommand(new ValidateVerb(environment))
            .addSubcommand(new DiffVerb(environment))
            .addSubcommand(new ApplyVerb(environment))
            .addSubcommand("get", GetVerb.create(environment))
            .addSubcommand(new ListVerb(environment))
            .addSubcommand(new WatchVerb(environment))
            .addSubcommand(new ExplainVerb(environment))
            .addSubcommand("drain", DrainVerb.drain(environment))
            .addSubcommand("resume", DrainVerb.resume(environment))
            .addSubcommand(new SubmitVerb(environment))
            .addSubcommand(new CancelVerb(environment))
            .addSubcommand(new StatusVerb(environment))
            .addSubcommand(new CompletionVerb(environment));
    addHelp(root);
    return root.setOut(environment.out())
        .setErr(environment.err())
        .setUsageHelpWidth(HELP_WIDTH)
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setColorScheme(CommandLine.Help.defaultColorScheme(Ansi.OFF))
        .setExecutionExceptionHandler(
            (exception, command, result) -> {
              environment.err().println("error: internal error: " + exception);
              environment.err().flush();
              return ExitCode.INTERNAL_ERROR.code();
            });
  }

  private static void addHelp(CommandLine command) {
    command.getCommandSpec().mixinStandardHelpOptions(true).version(VERSION);
    command.getSubcommands().values().forEach(Cli::addHelp);
  }
}
