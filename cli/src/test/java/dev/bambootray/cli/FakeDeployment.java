package dev.bambootray.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.bambootray.cli.client.NodeCall;
import dev.bambootray.cli.client.NodeClient;
import dev.bambootray.cli.client.NodeReply;
import io.vavr.control.Either;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Nodes with scripted replies, a clock that only pauses advance, and captured output. */
final class FakeDeployment implements NodeClient {
  /** One call as a node received it. */
  record Received(String node, String token, NodeCall call) {}

  final List<Received> received = new ArrayList<>();
  final Map<String, String> variables = new HashMap<>();
  private final Deque<Either<String, NodeReply>> replies = new ArrayDeque<>();
  private final Path home;
  private long nowMs = 1_000_000;
  String out = "";
  String err = "";

  FakeDeployment(Path home) {
    this.home = home;
  }

  /** Adds the reply to the next call. */
  FakeDeployment reply(int status, String json) {
    replies.add(Either.right(new NodeReply(status, parse(json))));
    return this;
  }

  /** Lets the next call fail without a reply. */
  FakeDeployment lost() {
    replies.add(Either.left("connection lost"));
    return this;
  }

  @Override
  public Either<String, NodeReply> call(String node, String token, NodeCall call) {
    received.add(new Received(node, token, call));
    // A node that holds the answer back takes that long; the clock stands for it.
    nowMs += call.waitMs();
    return replies.isEmpty() ? Either.left("connection refused") : replies.poll();
  }

  int run(String... arguments) {
    StringWriter outText = new StringWriter();
    StringWriter errText = new StringWriter();
    int code = Cli.run(environment(outText, errText), arguments);
    out = outText.toString();
    err = errText.toString();
    return code;
  }

  picocli.CommandLine commandLine() {
    return Cli.commandLine(environment(new StringWriter(), new StringWriter()));
  }

  private CliEnvironment environment(StringWriter outText, StringWriter errText) {
    return new CliEnvironment(
        new PrintWriter(outText),
        new PrintWriter(errText),
        context -> this,
        clock(),
        ms -> nowMs += ms,
        () -> "key-1",
        variables,
        home);
  }

  /** Returns what was called: node, method and path of each call. */
  List<String> calls() {
    return received.stream()
        .map(r -> r.node() + " " + r.call().method() + " " + r.call().path())
        .toList();
  }

  private static com.fasterxml.jackson.databind.JsonNode parse(String json) {
    try {
      return new ObjectMapper().readTree(json);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private Clock clock() {
    return new Clock() {
      @Override
      public ZoneId getZone() {
        return ZoneOffset.UTC;
      }

      @Override
      public Clock withZone(ZoneId zone) {
        return this;
      }

      @Override
      public Instant instant() {
        return Instant.ofEpochMilli(nowMs);
      }
    };
  }
}
