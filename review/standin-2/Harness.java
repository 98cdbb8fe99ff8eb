import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts nodes by the deploy file, and sends calls as clients and as the operator. */
final class Harness implements AutoCloseable {
  static final String SERVICE = "huvo11a";
  static final String ZONE = "gwynedd-a";
  static final String HOST = "nony24.example";
  static final String KEY = "d4a3hwrr6x73d3zji9n7";
  static final long DEADLINE_MS = 3_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  /** An answer to a call; status 0 means that there was none. */
  record Answer(int status, String body) {}

  private record Node(String name, String ip, Process process) {}

  final Record record;
  final Store store;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path temporary;
  private final List<Node> nodes = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private int frontPort;
  private int readyPort;
  private int internalPort;

  Harness(Path folder) throws IOException {
    record = new Record(folder.resolve("record.txt"));
    store = new Store(record);
    temporary = Files.createTempDirectory("bambootray-review");
    record.line("trouble=" + trouble);
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, 0));
      return socket.getLocalPort();
    }
  }

  /** Writes the config: three queues of one service, named by their prefixes. */
  void putConfig() {
    ObjectNode config = JSON.createObjectNode().put("version", 7);
    ArrayNode routes = config.putArray("routes");
    route(routes, "/pule252/", 2, 2);
    route(routes, "/lohu930/", 1, 3);
    route(routes, "/pufi791/", 0, 3);
    config
        .putArray("services")
        .addObject()
        .put("name", SERVICE)
        .put("health_path", "/health")
        .put("max_conns", 64)
        .put("protocol", "h1")
        .put("tls", false)
        .put("enforces_capacity", true)
        .put("spare", false);
    config
        .putObject("limits")
        .put("max_header_bytes", 16_384)
        .put("max_body_bytes", 262_144)
        .put("header_timeout_ms", 3_000)
        .put("idle_timeout_ms", 15_000);
    ObjectNode tenant = config.putArray("tenants").addObject().put("name", "kaje80");
    tenant.putArray("api_keys").add(KEY);
    tenant.put("priority", 1).putObject("guaranteed").put("gpu", 48);
    store.put("op", "config", config);
    record.line("operator: config version 7 confirmed");
  }

  private static void route(ArrayNode routes, String prefix, int priority, int attempts) {
    routes
        .addObject()
        .put("name", "r-" + prefix.replace("/", ""))
        .put("host", HOST)
        .put("path_prefix", prefix)
        .put("kind", "non_idempotent")
        .put("timeout_ms", 3_000)
        .put("target_latency_ms", 1_200)
        .put("priority", priority)
        .put("service", SERVICE)
        .put("max_attempts", attempts)
        .put("stretch", 3.0)
        .put("public", false);
  }

  /** Starts nodes at addresses of their own, all with the same ports, and waits until all are ready. */
  void startNodes(int count) throws IOException {
    frontPort = freePort("127.0.0.1");
    readyPort = freePort("127.0.0.1");
    internalPort = freePort("127.0.0.1");
    for (int i = 0; i < count; i++) {
      startNode("front-gwynedd-a-" + (i + 1), "127.0.0." + (11 + i));
    }
    long endMs = record.nowMs() + 30_000;
    for (Node node : nodes) {
      while (call("GET", "http://" + node.ip + ":" + readyPort + "/api/ready", null, 1_000).status()
          != 200) {
        if (record.nowMs() > endMs || !node.process.isAlive()) {
          throw new IllegalStateException(node.name + " does not become ready");
        }
        sleep(200);
      }
      record.line(node.name + ": ready");
    }
  }

  private void startNode(String name, String ip) throws IOException {
    Path settings = temporary.resolve(name + ".json");
    Files.write(settings, JSON.writeValueAsBytes(settings(name, ip)));
    ProcessBuilder builder = new ProcessBuilder(runCommand());
    List<String> kept = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
    builder.environment().keySet().retainAll(kept);
    builder.environment().put("BAMBOOTRAY_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(temporary.resolve(name + ".log").toFile());
    nodes.add(new Node(name, ip, builder.start()));
    record.line(name + ": started");
  }

  /** Reads the command of the role from the deploy file. */
  private static List<String> runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IllegalStateException("deploy/system.toml has no line run");
    }
    return List.of(run.group(1).split(" "));
  }

  private ObjectNode settings(String name, String ip) {
    ObjectNode settings =
        JSON.createObjectNode()
            .put("node_name", name)
            .put("role", "node")
            .put("machine_class", "front")
            .put("ip", ip)
            .put("zone", ZONE)
            .put("region", "gwynedd")
            .put("bootstrap", true)
            .put("fault_counted", false)
            .put("discovery", "platform")
            .put("entry", "vip")
            .put("heartbeat_ms", 1_500)
            .put("orders", "rpc");
    settings.putArray("serves").add("front");
    settings.putArray("internal_ports").add(internalPort).add(internalPort + 15);
    settings.putArray("seeds");
    settings.putObject("zones").put(ZONE, "gwynedd");
    settings
        .putObject("listen")
        .put("front", ip + ":" + frontPort)
        .put("ready", ip + ":" + readyPort);
    settings
        .putObject("limits")
        .put("cpu_share", 0.75)
        .put("cores", 1)
        .put("memory_mb", 430)
        .put("max_fds", 4_100);
    settings
        .putObject("bounds")
        .put("contact_ms", 4_000)
        .put("ack_ms", 5_000)
        .put("grace_s", 6)
        .put("hold_max_ms", 10_000)
        .put("stop_ms", 900)
        .put("cancel_ms", 3_000)
        .put("visible_ms", 3_000)
        .put("finish_s", 14)
        .put("status_s", 120)
        .put("config_apply_ms", 2_500);
    settings
        .putObject("platform")
        .put("address", store.address())
        .put("form", "table")
        .put("writes_per_s", 600)
        .put("reads_per_s", 2_000)
        .put("tx_ms", 5.0)
        .put("part_writes_per_s", 200)
        .put("row_bytes", Store.ROW_BYTES)
        .put("across", false)
        .put("history_s", 20);
    return settings;
  }

  /** Calls a queue at a node, as a client does, and records the call and its answer. */
  Answer client(int node, String method, String path, String body) {
    return client(node, method, path, body, DEADLINE_MS);
  }

  Answer client(int node, String method, String path, String body, long deadlineMs) {
    String url = "http://" + nodes.get(node).ip + ":" + frontPort + path;
    record.line("client: " + method + " " + path + " at " + nodes.get(node).name);
    Answer answer = call(method, url, body, deadlineMs);
    String outcome = answer.status() == 0 ? "no answer" : answer.status() + " " + answer.body();
    record.line("client: " + method + " " + path + " -> " + outcome);
    return answer;
  }

  private Answer call(String method, String url, String body, long timeoutMs) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .header("Host", HOST)
            .header("Authorization", "Bearer " + KEY)
            .header("Content-Type", "application/json")
            .header("Bambootray-Deadline-Ms", String.valueOf(timeoutMs))
            .timeout(Duration.ofMillis(timeoutMs))
            .build();
    CompletableFuture<HttpResponse<String>> response =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    try {
      HttpResponse<String> got = response.get(timeoutMs, TimeUnit.MILLISECONDS);
      return new Answer(got.statusCode(), got.body());
    } catch (Exception e) {
      response.cancel(true);
      return new Answer(0, "");
    }
  }

  static String idOf(int number) {
    return String.format("5c0e7a21d94b%04x", number);
  }

  @Override
  public void close() {
    nodes.forEach(node -> node.process.destroyForcibly());
    for (Node node : nodes) {
      try {
        node.process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    record.line("all processes ended");
    record.close();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs of the nodes: " + temporary);
      return;
    }
    try (var files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println("the temporary folder stays: " + e.getMessage());
    }
  }

  /** The body of a case: returns whether the rule held. */
  interface Case {
    boolean holds(Harness harness) throws Exception;
  }

  /** Runs a case in a folder and exits: 0 if the rule held, 1 if not, 2 if it could not run. */
  static void run(String folder, Case body) {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("sun.net.httpserver.nodelay", "true");
    System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
    System.setProperty("sun.net.httpserver.idleInterval", "100000");
    int code = 2;
    try (Harness harness = new Harness(Path.of(folder))) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> harness.nodes.forEach(n -> n.process.destroyForcibly())));
      try {
        code = body.holds(harness) ? 0 : 1;
        harness.record.line(code == 0 ? "the rule held" : "the rule was broken");
      } catch (Exception e) {
        harness.record.line("the case could not run: " + e);
      }
    } catch (IOException e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(code);
  }
}
