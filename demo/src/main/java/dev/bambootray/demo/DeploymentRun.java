package dev.bambootray.demo;

import dev.bambootray.core.model.WorkerId;
import dev.bambootray.daemon.NodeProcess;
import dev.bambootray.documents.DeclarationWriter;
import dev.bambootray.ports.api.PublishResult;
import dev.bambootray.standins.Faults;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Runs one deployment under load while parts of it fail. */
final class DeploymentRun {
  private static final long LOAD_MS = 18_000;
  private static final long STORE_AWAY_AT_MS = 7_000;
  private static final long STORE_AWAY_MS = 10_000;
  private static final long SEND_EVERY_MS = 40;
  private static final double LOST_ANSWERS = 0.3;
  private static final long READY_LIMIT_MS = 6_000;
  private static final long POLL_MS = 50;

  private final DeploymentFiles files;
  private final Deployment deployment;
  private final Consumer<String> progress;
  private final boolean overlap;
  private final List<Integer> ports = new CopyOnWriteArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  DeploymentRun(
      DeploymentFiles files, Deployment deployment, Consumer<String> progress, boolean overlap) {
    this.files = files;
    this.deployment = deployment;
    this.progress = progress;
    this.overlap = overlap;
  }

  /** Publishes the declaration, sends the load, brings the failures about and counts. */
  DemoResult run(long seed) throws InterruptedException {
    deployment.nodes().forEach(node -> ports.add(node.httpPort()));
    publish();
    awaitReady();
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    LoadRun load =
        new LoadRun(client, this::anyPort, deployment.declaration(), files.mix(), random);
    Timeline timeline = timeline();
    long startMs = System.currentTimeMillis();
    for (long atMs = 0; atMs < LOAD_MS; atMs += SEND_EVERY_MS) {
      sleepUntil(startMs + atMs);
      timeline.advance(atMs);
      load.sendOne();
      if (atMs % 3_000 == 0) {
        tell(load.sent() + " sent, " + load.ended() + " ended");
      }
    }
    timeline.advance(Long.MAX_VALUE);
    tell(load.sent() + " sent, " + load.ended() + " ended; waiting for the rest");
    List<CallerOutcome> outcomes = load.await();
    return Verdict.of(files.name(), deployment, outcomes, client, survivor());
  }

  /**
   * The failures of the run. An owner that is lost within 3 s of an outage of the store cannot be
   * replaced before the store is back, so that claims on its region come late; with overlap this
   * case is brought about on purpose.
   */
  private Timeline timeline() {
    Faults store = deployment.platform().server().faults();
    NodeProcess killed = deployment.nodes().get(1);
    NodeProcess drained = deployment.nodes().get(4);
    WorkerId failing =
        deployment.declaration().workers().keySet().stream()
            .min(Comparator.naturalOrder())
            .orElseThrow();
    return new Timeline()
        .at(
            1_000,
            "worker " + failing + " fails every task from now on",
            () -> deployment.worker(failing).setFailEveryTask(true))
        .at(
            overlap ? 5_500 : 2_000,
            "node " + killed.node() + " stops without warning",
            () -> {
              ports.remove((Integer) killed.httpPort());
              killed.close();
            })
        .at(
            overlap ? 6_000 : 3_500,
            "node " + drained.node() + " is drained",
            () -> {
              var unused = drained.stop();
            })
        .at(
            STORE_AWAY_AT_MS - 500,
            "the store loses some answers after the write",
            () -> store.setLostAnswerShare(LOST_ANSWERS))
        .at(STORE_AWAY_AT_MS, "the store is away for 10 s", () -> store.setAway(true))
        .at(
            STORE_AWAY_AT_MS + STORE_AWAY_MS,
            "the store is back and still loses some answers",
            () -> store.setAway(false))
        .tellingTo(this::tell);
  }

  private void publish() {
    String text = DeclarationWriter.write(deployment.declaration());
    NodeProcess first = deployment.nodes().get(0);
    var outcome = first.api().publish(0, text, "demo").join();
    boolean committed =
        outcome.isRight()
            && (outcome.get() instanceof PublishResult.Accepted
                || outcome.get() instanceof PublishResult.Committed);
    if (!committed) {
      throw new IllegalStateException("the declaration was not accepted: " + outcome);
    }
  }

  private void awaitReady() throws InterruptedException {
    long limitMs = System.currentTimeMillis() + READY_LIMIT_MS;
    while (System.currentTimeMillis() < limitMs) {
      boolean ready =
          deployment.nodes().stream()
              .map(node -> node.api().status().join())
              .allMatch(
                  status ->
                      status.ready()
                          && status.loads().size() == deployment.declaration().regions().size());
      if (ready) {
        return;
      }
      Thread.sleep(POLL_MS);
    }
    tell("not every node is ready after " + READY_LIMIT_MS + " ms");
  }

  private NodeProcess survivor() {
    return deployment.nodes().get(deployment.nodes().size() - 1);
  }

  private Integer anyPort() {
    List<Integer> known = new ArrayList<>(ports);
    return known.get(ThreadLocalRandom.current().nextInt(known.size()));
  }

  private void tell(String text) {
    progress.accept(files.name() + ": " + text);
  }

  private static void sleepUntil(long timeMs) throws InterruptedException {
    long leftMs = timeMs - System.currentTimeMillis();
    if (leftMs > 0) {
      Thread.sleep(leftMs);
    }
  }
}
