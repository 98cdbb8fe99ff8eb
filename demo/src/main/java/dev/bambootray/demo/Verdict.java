package dev.bambootray.demo;

import dev.bambootray.daemon.NodeProcess;
import dev.bambootray.standins.RunLedger;
import dev.bambootray.standins.StandInWorker;
import java.net.http.HttpClient;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;

/** Counts, from what callers and stand-in workers saw, whether the promises held. */
final class Verdict {
  private static final long CLAIM_LIMIT_MS = 5_000;
  private static final int SLOTS = 8;

  private final String name;
  private final Deployment deployment;
  private final List<CallerOutcome> outcomes;

  private Verdict(String name, Deployment deployment, List<CallerOutcome> outcomes) {
    this.name = name;
    this.deployment = deployment;
    this.outcomes = outcomes;
  }

  /** Returns the counts of a deployment whose callers have all ended. */
  static DemoResult of(
      String name,
      Deployment deployment,
      List<CallerOutcome> outcomes,
      HttpClient client,
      NodeProcess survivor) {
    return new Verdict(name, deployment, outcomes).count(client, survivor);
  }

  private DemoResult count(HttpClient client, NodeProcess survivor) {
    Map<String, Boolean> repeatable = new HashMap<>();
    Set<String> refused = new HashSet<>();
    Histogram completionMs = new Histogram(3);
    for (CallerOutcome outcome : outcomes) {
      repeatable.put(outcome.key(), outcome.repeatable());
      if ("no".equals(outcome.ran())) {
        refused.add(outcome.key());
      }
      if (outcome.isSuccess()) {
        completionMs.recordValue(outcome.endMs() - outcome.firstSentMs());
      }
    }
    RunLedger ledger = deployment.ledger();
    nameRefusedButRan(ledger);
    return new DemoResult(
        name,
        outcomes.size(),
        outcomes.stream().filter(CallerOutcome::accepted).count(),
        outcomes.stream().filter(CallerOutcome::isAnswered).count(),
        outcomes.stream().filter(o -> o.accepted() && !o.isAnswered()).count(),
        duplicateAnswers(client, survivor),
        refused.size(),
        ledger.refusedButRan(refused),
        ledger.doubleRuns(key -> Boolean.FALSE.equals(repeatable.get(key))),
        ledger.partialGangs(System.currentTimeMillis()),
        guaranteeViolations(),
        deployment.workers().stream().filter(Verdict::exceededSlots).count(),
        deployment.workers().stream()
            .mapToLong(worker -> worker.counters().path("refusedConnections").asLong())
            .sum(),
        new DemoResult.Completion(
            completionMs.getValueAtPercentile(50), completionMs.getValueAtPercentile(99)),
        deployment.crossRegionBytes());
  }

  /** Names the requests that ran although their caller was told that they did not. */
  private void nameRefusedButRan(RunLedger ledger) {
    Set<String> ran =
        ledger.runs().stream().map(run -> run.start().key()).collect(Collectors.toSet());
    outcomes.stream()
        .filter(outcome -> "no".equals(outcome.ran()) && ran.contains(outcome.key()))
        .forEach(
            outcome ->
                System.err.println(
                    name
                        + ": "
                        + outcome.key()
                        + " ran, but its caller was told: "
                        + outcome.error()));
  }

  /** Counts durable answers that read differently through another node. */
  private long duplicateAnswers(HttpClient client, NodeProcess survivor) {
    return outcomes.stream()
        .filter(outcome -> outcome.durable() && outcome.answer() != null)
        .map(
            outcome ->
                Caller.readAnswer(
                        client, survivor.httpPort(), outcome.workspace(), outcome.idempotencyKey())
                    .thenApply(again -> differs(outcome.answer(), again)))
        .toList()
        .stream()
        .map(CompletableFuture::join)
        .filter(Boolean::booleanValue)
        .count();
  }

  private long guaranteeViolations() {
    Map<String, Long> firstStartMs = new HashMap<>();
    deployment
        .ledger()
        .runs()
        .forEach(run -> firstStartMs.merge(run.start().key(), run.start().startMs(), Math::min));
    return outcomes.stream()
        .filter(outcome -> outcome.claim() && outcome.repeatable())
        .filter(outcome -> isLate(outcome, firstStartMs.get(outcome.key())))
        .count();
  }

  private boolean isLate(CallerOutcome outcome, @Nullable Long startMs) {
    long reference = startMs == null ? outcome.endMs() : startMs;
    long waitedMs = reference - outcome.firstSentMs();
    if (waitedMs <= CLAIM_LIMIT_MS) {
      return false;
    }
    System.err.println(
        name
            + ": "
            + outcome.key()
            + " claimed guaranteed capacity at "
            + Instant.ofEpochMilli(outcome.firstSentMs())
            + " and waited "
            + waitedMs
            + " ms");
    return true;
  }

  private static boolean differs(@Nullable String first, @Nullable String again) {
    return again != null && !again.equals(first);
  }

  private static boolean exceededSlots(StandInWorker worker) {
    return worker.counters().path("peakSlots").asInt() > SLOTS;
  }
}
