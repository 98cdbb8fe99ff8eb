package dev.bambootray.soak;

import dev.bambootray.adapters.httpclient.ConnectionPool;
import dev.bambootray.adapters.httpclient.HttpExchange.Answered;
import dev.bambootray.adapters.httpclient.HttpExchange.Lane;
import dev.bambootray.adapters.httpclient.HttpExchange.NoReply;
import dev.bambootray.adapters.httpclient.HttpExchange.NotSent;
import dev.bambootray.adapters.httpclient.HttpExchange.Outcome;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.adapters.httpclient.LinkDelay;
import dev.bambootray.soak.wire.Documents;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ObjIntConsumer;

/**
 * Callers that submit, watch and cancel jobs at any node, keep their connections open and repeat
 * what got no answer. Confined to one event loop.
 */
final class SoakCallers {
  private static final long TIMEOUT_MS = 3_000;
  private static final long RETRY_MS = 700;
  private static final long POLL_MS = 700;
  private static final int MOST_ATTEMPTS = 8;
  private static final double GIVES_UP_SHARE = 0.5;
  private static final int LONGEST_PATIENCE_MS = 2_000;
  private static final int CONNECTIONS = 16;
  private static final int LARGEST_RESPONSE_BYTES = 64 * 1024;

  /**
   * By the platform's rules a request counts as lost only if its connection ends later than this
   * after it was sent: a node may close an idle connection just as a request arrives.
   */
  private static final long LOSS_SLACK_MS = 200;

  private static final int ACCEPTED = 200;
  private static final int GONE = 410;

  /** Statuses that say nothing about a job: the caller has to ask again. */
  private static final Set<Integer> NO_ANSWER = Set.of(0, 429, 502, 503, 504);

  /** Statuses of a submission that may have stored the job, or may store it later. */
  private static final Set<Integer> MAYBE_STORED = Set.of(0, 502, 504);

  private final EventLoop loop;
  private final PromiseBook book;
  private final LongSupplier clock;
  private final Map<String, SoakJob> jobs;
  private final SplittableRandom random;
  private final SoakLoad load;
  private final List<ConnectionPool> nodes = new ArrayList<>();
  private boolean plannedOnly;
  private boolean submitting = true;

  /**
   * Creates callers of nodes.
   *
   * @param ports ports of the nodes
   * @param jobs receives each job before it is submitted
   * @param load what is submitted
   */
  SoakCallers(
      EventLoop loop,
      PromiseBook book,
      LongSupplier clock,
      Map<String, SoakJob> jobs,
      List<Integer> ports,
      long seed,
      SoakLoad load) {
    this.load = load;
    this.loop = loop;
    this.book = book;
    this.clock = clock;
    this.jobs = jobs;
    random = new SplittableRandom(seed);
    ConnectionPool.Limits limits =
        new ConnectionPool.Limits(0, 0, CONNECTIONS, LARGEST_RESPONSE_BYTES);
    for (int port : ports) {
      nodes.add(new ConnectionPool(loop, Documents.HOST, port, limits, LinkDelay.NONE));
    }
  }

  /** Begins to submit. With only planned work going on, no answer may be lost at a node. */
  void start(boolean onlyPlannedWork) {
    plannedOnly = onlyPlannedWork;
    submitNext();
  }

  /** Ends the submitting; jobs that were submitted are watched until they end. */
  void stopSubmitting() {
    submitting = false;
  }

  private void submitNext() {
    if (!submitting) {
      return;
    }
    SoakJob job = SoakJob.draw(random, load);
    jobs.put(job.id(), job);
    book.submitting(job);
    submit(job, 1);
    later((long) (-Math.log(1 - random.nextDouble()) * load.meanGapMs()), this::submitNext);
  }

  private void submit(SoakJob job, int attempt) {
    Request request =
        Request.of(
            "POST",
            Documents.path(job.id()),
            Documents.submission(job.payload(), job.steps()),
            Lane.COMMAND);
    send(request, (outcome, node) -> onSubmitted(job, attempt, outcome));
  }

  private void onSubmitted(SoakJob job, int attempt, Outcome outcome) {
    int status = status(outcome);
    boolean givesUp = attempt == MOST_ATTEMPTS || random.nextDouble() < GIVES_UP_SHARE / attempt;
    boolean unanswered = !(outcome instanceof NotSent) && MAYBE_STORED.contains(status);
    boolean leaves = unanswered && job.cancelled();
    boolean last = status != ACCEPTED && (givesUp || leaves);
    if (!(outcome instanceof NotSent)) {
      book.answered(job.id(), status, last);
    } else if (last) {
      book.answered(job.id(), 503, true); // No node has seen this attempt.
    }
    if (leaves) {
      cancel(job); // The store may still carry out the submission.
    } else if (status == ACCEPTED) {
      later(POLL_MS, () -> watch(job));
      if (job.cancelled()) {
        later(random.nextInt(LONGEST_PATIENCE_MS), () -> cancel(job));
      }
    } else if (!last) {
      later(RETRY_MS, () -> submit(job, attempt + 1));
    }
  }

  private void cancel(SoakJob job) {
    send(
        Request.of("DELETE", Documents.path(job.id()), new byte[0], Lane.COMMAND),
        (outcome, node) -> {
          int status = status(outcome);
          if (status == GONE) {
            book.shown(job.id(), "gone", name(node));
          }
          if (status == ACCEPTED || status == GONE) {
            book.cancelled(job.id(), clock.getAsLong());
          } else {
            later(RETRY_MS, () -> cancel(job));
          }
        });
  }

  private void watch(SoakJob job) {
    send(
        Request.get(Documents.path(job.id())),
        (outcome, node) -> {
          read(job.id(), node, outcome);
          later(POLL_MS, () -> watch(job));
        });
  }

  /** Notes what a node says about a job and returns whether it says anything. */
  private boolean read(String job, int node, Outcome outcome) {
    int status = status(outcome);
    if (NO_ANSWER.contains(status)) {
      return false;
    }
    String state = status == GONE ? "gone" : "status " + status;
    if (outcome instanceof Answered answered && status == ACCEPTED) {
      state = Documents.state(answered.body().bytes());
    }
    book.shown(job, state, name(node));
    return true;
  }

  /** Asks every node about every accepted job, one after the other at each node. */
  CompletableFuture<?> askEveryNode() {
    List<CompletableFuture<?>> asked = new ArrayList<>();
    for (int node = 0; node < nodes.size(); node++) {
      CompletableFuture<Void> done = new CompletableFuture<>();
      asked.add(done);
      ask(node, book.accepted().iterator(), done);
    }
    return CompletableFuture.allOf(asked.toArray(CompletableFuture<?>[]::new));
  }

  private void ask(int node, Iterator<String> rest, CompletableFuture<Void> done) {
    if (rest.hasNext()) {
      ask(node, rest.next(), 1, rest, done);
    } else {
      done.complete(null);
    }
  }

  private void ask(
      int node, String job, int attempt, Iterator<String> rest, CompletableFuture<Void> done) {
    sendTo(
        node,
        Request.get(Documents.path(job)),
        outcome -> {
          if (read(job, node, outcome)) {
            ask(node, rest, done);
          } else if (attempt < MOST_ATTEMPTS) {
            later(RETRY_MS, () -> ask(node, job, attempt + 1, rest, done));
          } else {
            book.violate(name(node), "does not answer at the end when it is asked about " + job);
            done.complete(null);
          }
        });
  }

  private static int status(Outcome outcome) {
    return outcome instanceof Answered answered ? answered.status() : 0;
  }

  private static String name(int node) {
    return "node" + node;
  }

  private void send(Request request, ObjIntConsumer<Outcome> then) {
    int node = random.nextInt(nodes.size());
    sendTo(node, request, outcome -> then.accept(outcome, node));
  }

  private void sendTo(int node, Request request, Consumer<Outcome> then) {
    Request full = request.withHeaders(Documents.callerHeaders(TIMEOUT_MS));
    long sentMs = clock.getAsLong();
    var unusedThen =
        nodes
            .get(node)
            .send(full, TIMEOUT_MS)
            .thenAccept(
                outcome -> {
                  boolean late = clock.getAsLong() - sentMs > LOSS_SLACK_MS;
                  if (plannedOnly && late && outcome instanceof NoReply lost) {
                    book.violate(
                        name(node),
                        "left a request without an answer during planned work: "
                            + request.method()
                            + " after "
                            + (clock.getAsLong() - sentMs)
                            + " ms: "
                            + lost.reason());
                  }
                  then.accept(outcome);
                });
  }

  private void later(long delayMs, Runnable action) {
    var unusedTimer = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Closes all connections. */
  void close() {
    nodes.forEach(ConnectionPool::close);
  }
}
