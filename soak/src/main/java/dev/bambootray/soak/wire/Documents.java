package dev.bambootray.soak.wire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Documents that the platform, its operator, its workers and callers write. */
public final class Documents {
  /** Address of everything in a soak. */
  public static final String HOST = "127.0.0.1";

  /** Service of all workers. */
  public static final String SERVICE = "soaked";

  /** Longest lease that workers grant, as on the users' deployments. */
  private static final int LONGEST_LEASE_MS = 10_000;

  /** Time within which nodes have to know that a failure domain is closed. */
  private static final int DOMAIN_CLOSE_LIMIT_MS = 5_000;

  /** Ports that a node derives from its first internal port. */
  private static final int METRICS_OFFSET = 10;

  private static final String PATH_PREFIX = "/jobs/";
  private static final String KEY = "key";
  private static final int GUARANTEED_ACCELERATORS = 8;
  private static final int LARGEST_BODY_BYTES = 262_144;

  private Documents() {}

  /**
   * Returns the settings of a node.
   *
   * @param name name of the node
   * @param frontPort port for callers
   * @param readyPort port of the readiness probe
   * @param metricsPort port of the metrics
   * @param storePort port of the store
   * @param graceS time between the signal to end and the kill, in seconds
   */
  public static byte[] settings(
      String name, int frontPort, int readyPort, int metricsPort, int storePort, int graceS) {
    ObjectNode settings = Json.object().put("node_name", name).put("orders", "rpc");
    settings
        .putObject("listen")
        .put("front", HOST + ":" + frontPort)
        .put("ready", HOST + ":" + readyPort);
    settings.putArray("internal_ports").add(metricsPort - METRICS_OFFSET);
    settings.putObject("platform").put("address", HOST + ":" + storePort);
    settings
        .putObject("bounds")
        .put("hold_max_ms", LONGEST_LEASE_MS)
        .put("grace_s", graceS)
        .put("evacuate_ms", DOMAIN_CLOSE_LIMIT_MS);
    settings.putObject("limits").put("cpu_share", 1);
    return Json.bytes(settings);
  }

  /** Returns a version of the configuration; the queue of the callers is in each. */
  static ObjectNode declaration(int version) {
    ObjectNode document = Json.object().put("version", version);
    ArrayNode routes = document.putArray("routes");
    routes
        .addObject()
        .put("name", "jobs")
        .put("host", HOST)
        .put("path_prefix", PATH_PREFIX)
        .put("service", SERVICE)
        .put("priority", 1)
        .put("max_attempts", 3)
        .put("stretch", 3)
        .put("target_latency_ms", 1_000);
    routes
        .addObject()
        .put("name", "added" + version)
        .put("host", HOST)
        .put("path_prefix", "/added" + version + "/")
        .put("service", SERVICE);
    document.putArray("services").addObject().put("name", SERVICE).put("enforces_capacity", true);
    ObjectNode workspace = document.putArray("tenants").addObject().put("name", "callers");
    workspace.putArray("api_keys").add(KEY);
    workspace.putObject("guaranteed").put("gpu", GUARANTEED_ACCELERATORS);
    document.putObject("limits").put("max_body_bytes", LARGEST_BODY_BYTES);
    return document;
  }

  /** Returns a worker's entry in the registry. */
  static ObjectNode entry(WorkerEntry worker, boolean draining, int sequence) {
    ObjectNode entry =
        Json.object()
            .put("service", worker.service())
            .put("address", worker.address())
            .put("zone", worker.zone())
            .put("version", "1")
            .put("slots", worker.capacity().accelerators())
            .put("state", draining ? "draining" : "ready")
            .put("seq", sequence)
            .put("born", worker.bornMs());
    entry
        .putObject("capacity")
        .put("gpu", worker.capacity().accelerators())
        .put("cpu", worker.capacity().millicores())
        .put("mem_mb", worker.capacity().memoryMib());
    entry.putArray("labels").add("kind").add(worker.rack());
    return entry;
  }

  /** Returns entries of another writer in the registry, none of which names a worker. */
  static List<byte[]> oddEntries() {
    String entry =
        "{\"service\":\"soaked\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
            + "\"capacity\":{\"cpu\":32000,\"mem_mb\":64000,\"gpu\":8},\"labels\":[\"kind\",\"r\"]}";
    return Stream.of(
            "",
            "[".repeat(20_000) + "]".repeat(20_000),
            entry.replace("\"z\"", "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000)),
            entry.replace("32000", "9".repeat(60_000)),
            entry.replace("64000", "1e400000000"),
            entry.replace("127.0.0.1:1", "127.0.0.1:99999"),
            entry.replace("127.0.0.1:1", "0.0.0.0:1"),
            entry.replace("\"z\"", "\"\u00ff\""))
        .map(text -> text.getBytes(StandardCharsets.ISO_8859_1))
        .toList();
  }

  /** Returns the body of a submission. */
  public static byte[] submission(String payload, List<StepSpec> steps) {
    ObjectNode body = Json.object().put("spec", payload);
    ArrayNode list = body.putArray("steps");
    for (StepSpec step : steps) {
      ObjectNode one =
          list.addObject()
              .put("count", step.count())
              .put("gpu", step.each().accelerators())
              .put("cpu", step.each().millicores())
              .put("mem_mb", step.each().memoryMib())
              .put("estimate_ms", step.estimateMs())
              .put("gang", step.gang())
              .put("same_rack", step.sameRack())
              .put("checkpointing", step.checkpointing());
      ArrayNode after = one.putArray("after");
      step.after().forEach(after::add);
    }
    return Json.bytes(body);
  }

  /** Returns the path of a job. */
  public static String path(String job) {
    return PATH_PREFIX + job;
  }

  /** Returns the headers of a caller that waits for a time. */
  public static Map<String, String> callerHeaders(long timeoutMs) {
    return Map.of("Authorization", "Bearer " + KEY, "Bambootray-Deadline-Ms", "" + timeoutMs);
  }

  /** Returns the state of a job in the answer of a node. */
  public static String state(byte[] body) {
    return Json.read(body).path("state").asText();
  }
}
