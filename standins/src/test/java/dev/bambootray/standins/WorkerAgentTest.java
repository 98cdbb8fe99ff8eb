package dev.bambootray.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Moves a worker's clock by hand to bring about lapsed leases and expired outcomes. */
final class WorkerAgentTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EmbeddedChannel clock = new EmbeddedChannel();
  private final HttpStandIn server = new HttpStandIn(group, 1, 64, call -> {});
  private final RunLedger ledger = RunLedger.create();
  private long nowMs = 1_000;
  private final WorkerAgent agent =
      new WorkerAgent(
          StandInWorker.Spec.standard("w", "north"), ledger, clock.eventLoop(), () -> nowMs);

  WorkerAgentTest() {
    // Only timers that are due at once run, and only when a test lets them.
    clock.freezeTime();
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void aReservationIsReleasedWhenItsLeaseLapses() {
    send("adopt", command(""));
    reserve("a~0", 500);
    nowMs += 499;
    agent.sweep();
    assertEquals("RESERVED", phase("a~0"));
    nowMs += 1;
    agent.sweep();
    assertEquals("UNKNOWN", phase("a~0"));
    assertEquals("UNKNOWN_TASK", reserve("a~0", 500).path("reason").asText());
  }

  @Test
  void aRunningMemberIsStoppedWhenItsLeaseLapsesAndItsRunEnds() {
    send("adopt", command(""));
    reserve("a~0", 500);
    send("start", command("a~0").put("parameters", "{\"runMs\":3600000}"));
    nowMs += 500;
    agent.sweep();
    assertEquals("STOPPED", phase("a~0"));
    assertEquals("STOPPED", ledger.runs().get(0).end().phase());
  }

  @Test
  void aPollRenewsLeases() {
    send("adopt", command(""));
    reserve("a~0", 500);
    send("poll", command("").put("afterSequence", 0).put("leaseMs", 2_000));
    nowMs += 1_999;
    agent.sweep();
    assertEquals("RESERVED", phase("a~0"));
  }

  @Test
  void anExpiredOutcomeStillTellsThatTheTaskRan() {
    send("adopt", command(""));
    reserve("a~0", 500);
    send("start", command("a~0").put("parameters", "{\"runMs\":3600000}"));
    send("stop", command("a~0"));
    nowMs += 600_001;
    agent.sweep();
    assertEquals(0, send("adopt", command("")).path("tasks").size());
    JsonNode told = send("query", command("a~0"));
    assertEquals("STOPPED", told.path("phase").asText());
    assertEquals("outcome no longer retained", told.path("detail").asText());
  }

  @Test
  void aCheckpointedTaskResumesWhereItWas() {
    send("adopt", command(""));
    reserve("a~0", 500_000);
    send("start", command("a~0").put("parameters", "{\"runMs\":3600000}"));
    nowMs += 3_600_000;
    send("checkpoint", command("a~0"));
    String checkpoint = send("query", command("a~0")).path("detail").asText();
    reserve("b~0", 500_000);
    send(
        "start",
        command("b~0").put("parameters", "{\"runMs\":3600000}").put("checkpoint", checkpoint));
    clock.runScheduledPendingTasks();
    assertEquals("FINISHED", ledger.runs().get(1).end().phase());
    assertEquals(0, ledger.doubleRuns(key -> true));
  }

  @Test
  void aRunWithMalformedParametersHasNoEffect() {
    send("adopt", command(""));
    ObjectNode run = described("a~0").put("parameters", "{");
    assertThrows(IllegalArgumentException.class, () -> send("run", run));
    assertEquals(0, ledger.runs().size());
    assertEquals("UNKNOWN", phase("a~0"));
  }

  @Test
  void workOfferedToALeavingWorkerIsTimed() {
    send("adopt", command(""));
    agent.leave();
    nowMs += 2_500;
    assertEquals("LEAVING", reserve("a~0", 500).path("reason").asText());
    assertEquals(2_500, agent.counters().path("latestWorkAfterLeavingMs").asLong());
    assertTrue(ledger.runs().isEmpty());
  }

  private JsonNode reserve(String task, long leaseMs) {
    return send("reserve", described(task).put("accelerators", 8).put("leaseMs", leaseMs));
  }

  private String phase(String task) {
    return send("query", command(task)).path("phase").asText();
  }

  private static ObjectNode described(String task) {
    return command(task).put("workspace", "w1").put("key", "k1").put("template", "plan");
  }

  private static ObjectNode command(String task) {
    return HttpCall.JSON
        .createObjectNode()
        .put("region", "north")
        .put("owner", "n1")
        .put("epoch", 1)
        .put("task", task);
  }

  private JsonNode send(String command, ObjectNode body) {
    EmbeddedChannel channel = new EmbeddedChannel();
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/agent/" + command,
            Unpooled.copiedBuffer(body.toString(), StandardCharsets.UTF_8));
    agent.handle(command, new HttpCall(server, channel, request));
    clock.runScheduledPendingTasks();
    FullHttpResponse response = channel.readOutbound();
    return HttpCall.parse(response.content().toString(StandardCharsets.UTF_8));
  }
}
