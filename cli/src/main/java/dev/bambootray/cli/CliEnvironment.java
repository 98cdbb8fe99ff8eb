package dev.bambootray.cli;

import dev.bambootray.cli.client.NodeClient;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Clock;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import javax.net.ssl.SSLContext;
import org.jspecify.annotations.Nullable;

/**
 * What the tool takes from outside, so that tests can replace it.
 *
 * @param out where results go
 * @param err where errors and notes go
 * @param clients makes the client of nodes from the certificates to trust, null for those of the
 *     JDK
 * @param clock the time
 * @param pause waits for the given milliseconds
 * @param keys makes idempotency keys
 * @param variables the environment variables
 * @param home the user's home directory
 */
public record CliEnvironment(
    PrintWriter out,
    PrintWriter err,
    ClientFactory clients,
    Clock clock,
    LongConsumer pause,
    Supplier<String> keys,
    Map<String, String> variables,
    Path home) {

  /** Makes clients of nodes. */
  @FunctionalInterface
  public interface ClientFactory extends Function<@Nullable SSLContext, NodeClient> {}
}
