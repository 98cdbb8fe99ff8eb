package dev.bambootray.cli;

import dev.bambootray.cli.client.HttpNodeClient;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Clock;
import java.util.UUID;
import java.util.concurrent.locks.LockSupport;

/** Entry point of the command-line tool. */
public final class CliMain {
  private CliMain() {}

  /** Runs the verb that the arguments name and exits with its code. */
  public static void main(String[] args) {
    CliEnvironment environment =
        new CliEnvironment(
            new PrintWriter(System.out, true, StandardCharsets.UTF_8),
            new PrintWriter(System.err, true, StandardCharsets.UTF_8),
            HttpNodeClient::create,
            Clock.systemUTC(),
            ms -> LockSupport.parkNanos(ms * 1_000_000),
            () -> UUID.randomUUID().toString(),
            System.getenv(),
            Path.of(System.getProperty("user.home", ".")));
    System.exit(Cli.run(environment, args));
  }
}
