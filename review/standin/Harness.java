import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Starts a small deployment, speaks to it as a client, and writes the record of a case. */
final class Harness implements AutoCloseable {
  static final String HOST = "queue.example";
  static final String PREFIX = "/jobs/";
  private static final String KEY = "key-of-tenant-a";

  /** A line of the record. */
  record Line(long atMs, String text) {}

  /** A worker's machine and its process. */
  final class WorkerProcess {
    final String id;
    private final int port;
    private final int cpu;
    private final int mem;
    private final int gpu;
    private final String labels;
    private Process process;

    private WorkerProcess(String id, int cpu, int mem, int gpu, String labels) {
      this.id = id;
      port = freePort();
      this.cpu = cpu;
      this.mem = mem;
      this.gpu = gpu;
      this.labels = labels;
    }

    void start() throws IOException {
      List<String> command = new ArrayList<>(List.of("java", "-Xmx96m", "-XX:+UseSerialGC"));
      command.addAll(
          List.of("-XX:TieredStopAtLevel=1", "-Dsun.net.httpserver.nodelay=true", "-cp", classpath));
      command.addAll(List.of("Worker", id, "" + port, store.address()));
      command.addAll(List.of("" + cpu, "" + mem, "" + gpu, labels, workerLog(id).toString()));
      process = Harness.this.start(command, Map.of(), folder.resolve("out-" + id + ".log"));
      note("worker " + id + " started pid=" + process.pid());
    }

    /** Kills it, as a crash does. */
    void crash() throws InterruptedException {
      process.destroyForcibly().waitFor();
      note("worker " + id + " crashed");
    }
  }

  private static final int FIRST_PORT = 20_000;
  private static final int BLOCK_PORTS = 200;
  private static final int BLOCKS = 50;

  final Store store;
  private final ServerSocket block = takeBlock();
  private int nextPort = block.getLocalPort() + 1;
  private final Path root;
  private final Path folder;
  private final Path record;
  private final String classpath = System.getProperty("java.class.path");
  private final long startMs = Json.steadyMs();
  private final List<Line> lines = Collections.synchronizedList(new ArrayList<>());
  private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, Process> nodes = new LinkedHashMap<>();
  private final Map<String, Path> nodeSettings = new LinkedHashMap<>();
  private final List<String> fronts = new ArrayList<>();
  private final Map<String, WorkerProcess> workers = new LinkedHashMap<>();
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  /**
   * Creates a deployment without processes.
   *
   * @param root root of the repository
   * @param record file to write the record to
   */
  Harness(Path root, Path record) throws IOException {
    this.root = root;
    this.record = record;
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    store = new Store(this::note);
  }

  void note(String text) {
    lines.add(new Line(Json.steadyMs(), text));
  }

  long sinceStartMs() {
    return Json.steadyMs() - startMs;
  }

  /** Publishes a config with one queue. */
  void publishConfig(int version, int maxAttempts) {
    ObjectNode config = Json.object().put("version", version);
    config
        .putArray("routes")
        .addObject()
        .put("name", "jobs")
        .put("host", HOST)
        .put("path_prefix", PREFIX)
        .put("service", "planner")
        .put("priority", 1)
        .put("max_attempts", maxAttempts)
        .put("stretch", 3)
        .put("target_latency_ms", 1_000);
    config.putArray("services").addObject().put("name", "planner").put("enforces_capacity", true);
    ObjectNode tenant = config.putArray("tenants").addObject().put("name", "a");
    tenant.putArray("api_keys").add(KEY);
    tenant.putObject("guaranteed").put("gpu", 8);
    config.putObject("limits").put("max_body_bytes", 262_144);
    store.put("op", "config", config);
    note("operator publishes config version " + version);
  }

  /**
   * Adds a machine for a worker.
   *
   * @param labels its kind and its rack, with a comma between them
   */
  WorkerProcess worker(String id, int cpu, int mem, int gpu, String labels) {
    WorkerProcess worker = new WorkerProcess(id, cpu, mem, gpu, labels);
    workers.put(id, worker);
    return worker;
  }

  private Path workerLog(String id) {
    return folder.resolve("worker-" + id + ".log");
  }

  /** Starts a node with the command of the deploy file. */
  void startNode(String name) throws IOException {
    Path settings = nodeSettings.get(name);
    if (settings == null) {
      settings = writeSettings(name);
      nodeSettings.put(name, settings);
    }
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = \""))
            .findFirst()
            .orElseThrow()
            .replaceFirst("^run = \"(.*)\"$", "$1");
    Process process =
        start(
            Arrays.asList(run.split(" ")),
            Map.of("BAMBOOTRAY_SETTINGS", settings.toString()),
            folder.resolve("node-" + name + ".log"));
    nodes.put(name, process);
    note("node " + name + " started pid=" + process.pid());
  }

  private Path writeSettings(String name) throws IOException {
    String host = "127.0.0.1";
    int front = freePort();
    int ready = freePort();
    int internal = freeRange(16);
    ObjectNode settings =
        Json.object()
            .put("node_name", name)
            .put("role", "node")
            .put("machine_class", "front")
            .put("ip", host)
            .put("zone", "zone-a")
            .put("region", "region-a")
            .put("bootstrap", true)
            .put("discovery", "platform")
            .put("entry", "vip")
            .put("heartbeat_ms", 1_500)
            .put("orders", "rpc");
    settings.putArray("serves").add("front");
    settings.putArray("internal_ports").add(internal).add(internal + 15);
    settings.putArray("seeds");
    settings.putObject("zones").put("zone-a", "region-a");
    settings
        .putObject("listen")
        .put("front", host + ":" + front)
        .put("ready", host + ":" + ready);
    settings
        .putObject("limits")
        .put("cpu_share", 0.75)
        .put("cores", 1)
        .put("memory_mb", 430)
        .put("max_fds", 4_100)
        .put("link_mbps", 1_000.0)
        .put("disk_mb", 0);
    settings
        .putObject("bounds")
        .put("contact_ms", 4_000)
        .put("ack_ms", 5_000)
        .put("drain_ms", 2_500)
        .put("grace_s", 6)
        .put("config_apply_ms", 2_500)
        .put("recovery_s", 12)
        .put("hold_max_ms", 10_000)
        .put("stop_ms", 900)
        .put("gang_timeout_ms", 3_000)
        .put("cancel_ms", 3_000)
        .put("visible_ms", 3_000)
        .put("early_ms", 250)
        .put("finish_s", 14)
        .put("status_s", 120)
        .put("far_x", 3)
        .put("checkpoint_interval_s", 0.5)
        .put("restore_ms", 600);
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
    fronts.add(host + ":" + front);
    Path file = folder.resolve(name + ".json");
    Files.writeString(file, settings.toPrettyString());
    return file;
  }

  private Process start(List<String> command, Map<String, String> variables, Path output)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().putAll(variables);
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    builder.redirectInput(ProcessBuilder.Redirect.from(new File("/dev/null")));
    Process process = builder.start();
    processes.add(process);
    return process;
  }

  private int freePort() {
    return freeRange(1);
  }

  /** Returns the first of a number of free ports of this harness, which no other harness uses. */
  private int freeRange(int count) {
    while (true) {
      int first = nextPort;
      nextPort += count;
      boolean free = true;
      for (int port = first; port < first + count && free; port++) {
        free = isFree(port);
      }
      if (free) {
        return first;
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Takes a block of ports below those that the system gives to clients, by listening on the first
   * of them until the harness ends.
   */
  private static ServerSocket takeBlock() throws IOException {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      int first = FIRST_PORT + BLOCK_PORTS * (int) (Math.random() * BLOCKS);
      try {
        return new ServerSocket(first, 1, InetAddress.getLoopbackAddress());
      } catch (IOException e) {
        // Another harness has this block.
      }
    }
    throw new IOException("no block of ports is free");
  }

  /** Waits until all nodes and workers serve, or fails with exit code 2. */
  void awaitReady() throws InterruptedException {
    long endMs = Json.steadyMs() + 30_000;
    while (Json.steadyMs() < endMs) {
      boolean ready = fronts.stream().allMatch(front -> call("GET", front, "", null).status == 200);
      if (ready && store.dump("servers").size() == workers.size()) {
        return;
      }
      Thread.sleep(200);
    }
    note("the deployment did not become ready; nodes that have ended: " + endedNodes());
    throw new CannotRun();
  }

  static final class CannotRun extends RuntimeException {}

  record Reply(int status, String body) {}

  private int nextFront;

  /** Calls the nodes in turn; a call that got no answer has the status 0. */
  Reply call(String method, String path, ObjectNode body) {
    String front = fronts.get(nextFront++ % fronts.size());
    return call(method, front, path, body);
  }

  private Reply call(String method, String front, String path, ObjectNode body) {
    try {
      HttpRequest.BodyPublisher publisher =
          body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofString(body.toString());
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + front + PREFIX + path))
              .timeout(Duration.ofSeconds(3))
              .header("Authorization", "Bearer " + KEY)
              .header("Bambootray-Deadline-Ms", "3000")
              .header("Host", HOST)
              .method(method, publisher)
              .build();
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Reply(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Reply(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(0, "interrupted");
    }
  }

  /** Submits a job, again at other nodes as clients do, and returns whether it was accepted. */
  boolean submit(String id, ObjectNode job) throws InterruptedException {
    for (int attempt = 0; attempt < 5; attempt++) {
      Reply reply = call("POST", id, job);
      note("client POST " + id + " -> " + reply.status + " " + reply.body);
      if (reply.status / 100 == 2) {
        return true;
      }
      Thread.sleep(1_000);
    }
    return false;
  }

  /** Returns the state of a job, or a text with the status of the answer. */
  String state(String id) {
    Reply reply = call("GET", id, null);
    note("client GET " + id + " -> " + reply.status + " " + reply.body);
    try {
      return reply.status == 200
          ? Json.MAPPER.readTree(reply.body).path("state").asText()
          : "status " + reply.status;
    } catch (IOException e) {
      return "unreadable";
    }
  }

  /** Asks for a job every half second until it is final or a time has passed. */
  String awaitFinal(String id, long limitMs) throws InterruptedException {
    long endMs = Json.steadyMs() + limitMs;
    String state = state(id);
    while (Json.steadyMs() < endMs && !List.of("completed", "failed", "cancelled").contains(state)) {
      Thread.sleep(500);
      state = state(id);
    }
    return state;
  }

  /** Returns a job of one step. */
  static ObjectNode job(String spec, int count, int cpu, int mem, int gpu, long estimateMs) {
    ObjectNode job = Json.object().put("spec", spec);
    ArrayNode steps = job.putArray("steps");
    ObjectNode step = steps.addObject().put("count", count);
    if (cpu > 0) {
      step.put("cpu", cpu);
    }
    if (mem > 0) {
      step.put("mem_mb", mem);
    }
    if (gpu > 0) {
      step.put("gpu", gpu);
    }
    if (estimateMs > 0) {
      step.put("estimate_ms", estimateMs);
    }
    if (spec.contains("checkpoint=1")) {
      step.put("checkpointing", true);
    }
    return job;
  }

  /** Returns what the workers have written, in the order of time: time, worker, and words. */
  List<String[]> workerEvents() throws IOException {
    List<String[]> events = new ArrayList<>();
    for (String id : workers.keySet()) {
      if (Files.exists(workerLog(id))) {
        for (String line : Files.readAllLines(workerLog(id))) {
          events.add(line.split(" "));
        }
      }
    }
    events.sort(Comparator.comparingLong(event -> Long.parseLong(event[0])));
    return events;
  }

  /** Returns the lines of a node's log that contain one of some texts. */
  List<String> nodeLog(String... texts) throws IOException {
    List<String> found = new ArrayList<>();
    for (String name : nodes.keySet()) {
      for (String line : Files.readAllLines(folder.resolve("node-" + name + ".log"))) {
        if (Arrays.stream(texts).anyMatch(line::contains)) {
          found.add(name + ": " + line);
        }
      }
    }
    return found;
  }

  /** Returns the nodes that have ended although nobody ended them. */
  List<String> endedNodes() {
    return nodes.entrySet().stream()
        .filter(node -> !node.getValue().isAlive())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the node that owns the pool, by the nodes' own logs; only to choose whom to kill. */
  String owner() throws IOException {
    String owner = "";
    String newest = "";
    for (String name : nodes.keySet()) {
      for (String line : Files.readAllLines(folder.resolve("node-" + name + ".log"))) {
        if (line.contains("won epoch=")) {
          String epoch = line.replaceFirst(".*won epoch=(\\d+).*", "$1");
          if (newest.isEmpty() || Long.parseLong(epoch) > Long.parseLong(newest)) {
            newest = epoch;
            owner = name;
          }
        }
      }
    }
    return owner;
  }

  void killNode(String name) throws InterruptedException {
    nodes.get(name).destroyForcibly().waitFor();
    note("node " + name + " killed");
  }

  /** Writes the record: what was sent, answered and run, in the order of time. */
  void writeRecord(List<String> verdict) throws IOException {
    TreeMap<Long, List<String>> byTime = new TreeMap<>();
    for (Line line : List.copyOf(lines)) {
      byTime.computeIfAbsent(line.atMs, key -> new ArrayList<>()).add(line.text);
    }
    for (String[] event : workerEvents()) {
      byTime
          .computeIfAbsent(Long.parseLong(event[0]), key -> new ArrayList<>())
          .add("worker " + String.join(" ", Arrays.copyOfRange(event, 1, event.length)));
    }
    try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record))) {
      verdict.forEach(line -> out.println("verdict: " + line));
      byTime.forEach(
          (atMs, texts) ->
              texts.forEach(
                  text -> out.printf("%8.3f s  %s%n", (atMs - startMs) / 1_000.0, text)));
    }
  }

  private void endProcesses() {
    for (Process process : List.copyOf(processes)) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Process process : List.copyOf(processes)) {
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    store.stop();
    block.close();
    if (System.getenv("KEEP") != null) {
      System.err.println("kept " + folder);
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }

  /** A case: plays its events and returns what broke the rule, nothing if it held. */
  interface Case {
    List<String> play(Harness harness, boolean trouble) throws Exception;
  }

  /** Plays a case and exits with 0 if the rule held, 1 if it broke, and 2 if it could not run. */
  static void run(String[] args, Case play) {
    int code;
    try (Harness harness = new Harness(Path.of(args[0]), Path.of(args[1]))) {
      List<String> verdict;
      try {
        List<String> broken = play.play(harness, !"0".equals(System.getenv("TROUBLE")));
        code = broken.isEmpty() ? 0 : 1;
        verdict = broken.isEmpty() ? List.of("the rule held") : broken;
      } catch (CannotRun e) {
        code = 2;
        verdict = List.of("the case could not run");
      }
      verdict.stream().limit(20).forEach(System.out::println);
      harness.writeRecord(verdict);
    } catch (Exception e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(code);
  }
}
