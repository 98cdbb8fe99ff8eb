package dev.bambootray.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands in for the platform's table, object store and VM list. {@code POST /control} takes the
 * faults as JSON ({@code latencyMs}, {@code away}, {@code lostAnswerShare}, {@code
 * requestsPerSecond}, {@code vmLagMs}, {@code paused}) and returns counters.
 */
public final class StandInPlatform implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 1_024;
  private static final String OBJECTS = "/objects/";

  private final TableState table = new TableState();
  private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
  private final VmList vms = new VmList(System::currentTimeMillis);
  private final HttpStandIn server;

  private StandInPlatform(EventLoopGroup group, long seed) {
    server = new HttpStandIn(group, seed, MAX_CONNECTIONS, this::route);
  }

  /** Starts a platform on a free loopback port; random faults follow the seed. */
  public static StandInPlatform start(EventLoopGroup group, long seed) {
    return new StandInPlatform(group, seed);
  }

  /** Returns its server, which carries the faults. */
  public HttpStandIn server() {
    return server;
  }

  /** Returns the VM list to change. */
  public VmList vms() {
    return vms;
  }

  /** Returns the value of a row, or an empty text if it is absent. */
  public String rowValue(String key) {
    return table.readRow(key).get("value").asText();
  }

  /** Returns the number of rows, commits, conflicts and reads so far, as JSON. */
  public JsonNode counters() {
    return table.counters();
  }

  @Override
  public void close() {
    server.close();
  }

  private void route(HttpCall call) {
    switch (call.path()) {
      case "/table/commit" -> {
        TableState.Outcome outcome = table.commit(call.json());
        call.answer(outcome.status(), outcome.body());
      }
      case "/table/token" -> call.answer(200, table.readToken(call.query("token", "")));
      case "/table/row" -> call.answer(200, table.readRow(call.query("key", "")));
      case "/table/scan" -> call.answer(200, scan(call));
      case "/vms" -> call.answer(200, vms.toJson());
      case "/control" -> {
        server.control(call.json());
        vms.setLagMs(call.json().path("vmLagMs").asLong(vms.lagMs()));
        call.answer(200, counters());
      }
      default -> routeObject(call);
    }
  }

  private JsonNode scan(HttpCall call) {
    String after = call.query("after", "");
    int limit = Integer.parseInt(call.query("limit", "100"));
    return table.scan(call.query("prefix", ""), after.isEmpty() ? null : after, limit);
  }

  private void routeObject(HttpCall call) {
    if (!call.path().startsWith(OBJECTS)) {
      call.answer(404, HttpCall.JSON.createObjectNode());
      return;
    }
    String name = call.path().substring(OBJECTS.length());
    if (call.method().equals("PUT")) {
      objects.put(name, call.body());
      call.done();
      return;
    }
    byte[] content = objects.get(name);
    call.answerBytes(content == null ? 404 : 200, content == null ? new byte[0] : content);
  }
}
