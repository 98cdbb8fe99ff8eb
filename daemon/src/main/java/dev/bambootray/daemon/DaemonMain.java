package dev.bambootray.daemon;

import dev.bambootray.adapters.telemetry.LogSetup;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.Settings;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import org.tinylog.Level;
import org.tinylog.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Entry point of the daemon, which parses the command line and runs one node. */
@Command(
    name = "bambootrayd",
    description = "Runs one node of bambootray.",
    mixinStandardHelpOptions = true)
public final class DaemonMain implements Callable<Integer> {

  @Option(names = "--settings", paramLabel = "FILE", description = "Settings of the node.")
  private @Nullable Path settingsFile;

  @Option(names = "--check", description = "Check the settings and end.")
  private boolean checkOnly;

  @Option(
      names = "--print-default-settings",
      description = "Print a commented settings file and end.")
  private boolean printDefaults;

  private DaemonMain() {}

  /** Runs the daemon and exits with an {@link ExitCode}. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new DaemonMain()).execute(args));
  }

  @Override
  public Integer call() throws InterruptedException {
    if (printDefaults) {
      System.out.print(Settings.defaultText());
      return ExitCode.OK.code();
    }
    if (settingsFile == null) {
      System.err.println("bambootrayd: --settings FILE is missing");
      return ExitCode.USAGE.code();
    }
    Either<List<String>, Settings> settings = Settings.load(settingsFile);
    if (settings.isLeft()) {
      settings.getLeft().forEach(System.err::println);
      return ExitCode.INVALID_SETTINGS.code();
    }
    if (checkOnly) {
      System.out.println("The settings are valid.");
      return ExitCode.OK.code();
    }
    return run(settings.get());
  }

  private static int run(Settings settings) throws InterruptedException {
    LogSetup.configure(Level.valueOf(settings.log().level().name()));
    Either<StartError, NodeProcess> started =
        readToken(settings).flatMap(token -> NodeProcess.start(settings, token));
    if (started.isLeft()) {
      System.err.println("bambootrayd: " + started.getLeft().message());
      return started.getLeft().exitCode().code();
    }
    NodeProcess node = started.get();
    Logger.info("node: Node {} listens on port {}.", node.node(), node.httpPort());
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node, ended), "shutdown"));
    ended.await();
    return ExitCode.OK.code();
  }

  private static void stop(NodeProcess node, CountDownLatch ended) {
    boolean handedOver = node.stop().join();
    Logger.info(
        handedOver
            ? "node: Stopped; everything was handed over."
            : "node: Stopped after the grace period; some callers were not answered here.");
    ended.countDown();
  }

  private static Either<StartError, String> readToken(Settings settings) {
    try {
      return Either.right(Files.readString(Path.of(settings.operatorTokenFile())).strip());
    } catch (IOException e) {
      return Either.left(
          new StartError(
              ExitCode.INVALID_SETTINGS, "cannot read the operator token file: " + e.getMessage()));
    }
  }
}
