package dev.bambootray.bench.sockets;

import com.sun.management.OperatingSystemMXBean;
import dev.bambootray.adapters.httpclient.LinkDelay;
import dev.bambootray.adapters.platform.HttpWorkerGateway;
import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.model.AttemptToken;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.Ownership;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares a request through one node with a direct call to a target, in the same run. */
@Command(
    name = "sockets",
    description = "Measures one node between callers and targets over loopback sockets.",
    mixinStandardHelpOptions = true)
public final class SocketBench implements Callable<Integer> {
  private static final int PARALLEL = 32;
  private static final int SETTLE_MS = 1_000;
  private static final int[] CONNECTIONS = {0, 400, 800, 1_600};

  @Option(names = "--quick", description = "Run for less than 45 s.")
  private boolean quick;

  @Option(names = "--json", description = "Print JSON instead of a table.")
  private boolean json;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private int sequence;

  private SocketBench() {}

  @Override
  public Integer call() throws InterruptedException, IOException {
    BenchReport report =
        BenchReport.create(
            "sockets", "case", "calls", "p50 ms", "p99 ms", "calls/s", "CPU ms/call");
    int calls = quick ? 2_000 : 10_000;
    try (SocketRig rig = SocketRig.start();
        HttpWorkerGateway gateway = HttpWorkerGateway.create(rig.loops(), LinkDelay.NONE)) {
      Ownership claim = adopt(gateway, rig);
      IntFunction<CompletableFuture<?>> direct = i -> direct(gateway, rig, claim);
      IntFunction<CompletableFuture<?>> hop = i -> through(rig);
      measure(calls / 4, 1, direct);
      measure(calls / 4, 1, hop);
      Result directOne = measure(calls / 4, 1, direct);
      Result hopOne = measure(calls / 4, 1, hop);
      Result hopMany = measure(calls, PARALLEL, hop);
      add(report, "direct, one at a time", directOne);
      add(report, "through a node, one at a time", hopOne);
      add(report, "through a node, " + PARALLEL + " at a time", hopMany);
      report.measure("hop_p50_over_direct", hopOne.p50Ms() / directOne.p50Ms());
      report.measure("hop_p99_over_direct", hopOne.p99Ms() / directOne.p99Ms());
      report.measure("calls_per_core_second", 1_000 / hopMany.cpuMs());
      openConnections(report, rig);
    }
    return report.print(System.out, json);
  }

  private static Ownership adopt(HttpWorkerGateway gateway, SocketRig rig) {
    Ownership claim = new Ownership(rig.region(), NodeId.of("bench"), 1);
    WorkerReply reply =
        gateway.send(rig.undeclaredWorker(), new WorkerCommand.Adopt(claim), SETTLE_MS).join();
    if (!(reply instanceof WorkerReply.Adopted)) {
      throw new IllegalStateException("the worker was not adopted: " + reply);
    }
    return claim;
  }

  private CompletableFuture<?> direct(HttpWorkerGateway gateway, SocketRig rig, Ownership claim) {
    WorkerDeclaration worker = rig.undeclaredWorker();
    String name = "direct-" + ++sequence;
    return gateway.send(
        worker,
        new WorkerCommand.Run(
            claim,
            new TaskId(AttemptToken.of(name), 0),
            RequestKey.of("ws", name),
            TemplateId.of("request"),
            "{\"runMs\":1}",
            60_000,
            ""),
        10_000);
  }

  private CompletableFuture<?> through(SocketRig rig) {
    String body =
        "{\"template\":\"request\",\"parameters\":{\"runMs\":1},\"idempotencyKey\":\"k-"
            + ++sequence
            + "\",\"deadlineMs\":30000}";
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(rig.requestsUrl()))
            .header("Authorization", "Bearer " + SocketRig.TOKEN)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .thenAccept(SocketBench::checkAnswered);
  }

  private static void checkAnswered(HttpResponse<String> response) {
    if (response.statusCode() != 200) {
      throw new IllegalStateException("status " + response.statusCode() + ": " + response.body());
    }
  }

  private static Result measure(int calls, int parallel, IntFunction<CompletableFuture<?>> call)
      throws InterruptedException {
    Histogram micros = new Histogram(3);
    Semaphore free = new Semaphore(parallel);
    long cpuBefore = cpuNanos();
    long startNanos = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      free.acquire();
      long sentNanos = System.nanoTime();
      var unused =
          call.apply(i)
              .whenComplete(
                  (reply, failure) -> {
                    synchronized (micros) {
                      micros.recordValue((System.nanoTime() - sentNanos) / 1_000);
                    }
                    free.release();
                  });
    }
    free.acquire(parallel);
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    double cpuMs = (cpuNanos() - cpuBefore) / 1e6 / calls;
    return new Result(
        calls,
        micros.getValueAtPercentile(50) / 1e3,
        micros.getValueAtPercentile(99) / 1e3,
        calls / seconds,
        cpuMs);
  }

  /** Measures memory and processor time with idle connections of callers. */
  private void openConnections(BenchReport report, SocketRig rig)
      throws IOException, InterruptedException {
    List<Socket> open = new ArrayList<>();
    double firstMib = 0;
    int last = CONNECTIONS[CONNECTIONS.length - 1];
    for (int wanted : CONNECTIONS) {
      while (open.size() < wanted) {
        open.add(new Socket(InetAddress.getLoopbackAddress(), rig.httpPort()));
      }
      TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
      double usedMib = usedMib();
      long cpuBefore = cpuNanos();
      TimeUnit.MILLISECONDS.sleep(2 * SETTLE_MS);
      double cpuShare = (cpuNanos() - cpuBefore) / 1e6 / (2 * SETTLE_MS);
      firstMib = wanted == 0 ? usedMib : firstMib;
      report.addRow(
          wanted + " idle connections", wanted, usedMib + " MiB heap", cpuShare + " cores", "", "");
      if (wanted == last) {
        report.measure("kib_per_connection", (usedMib - firstMib) * 1_024 / last);
      }
    }
    for (Socket socket : open) {
      socket.close();
    }
  }

  private static double usedMib() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return (runtime.totalMemory() - runtime.freeMemory()) / 1_048_576.0;
  }

  private static long cpuNanos() {
    return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
  }

  private static void add(BenchReport report, String name, Result result) {
    report.addRow(
        name, result.calls(), result.p50Ms(), result.p99Ms(), result.perSecond(), result.cpuMs());
  }

  /**
   * Times of a series of calls.
   *
   * @param calls number of calls
   * @param p50Ms median in milliseconds
   * @param p99Ms 99th percentile in milliseconds
   * @param perSecond calls a second
   * @param cpuMs processor time of this process for each call, in milliseconds, callers, node and
   *     stand-ins together
   */
  private record Result(int calls, double p50Ms, double p99Ms, double perSecond, double cpuMs) {}
}
