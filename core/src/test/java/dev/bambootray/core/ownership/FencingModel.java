package dev.bambootray.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A small model of lease, epoch, grant and answer: three nodes that may be paused between any two
 * steps, two workers with one slot each, a table, and messages that may be late, lost or repeated.
 *
 * <p>A step happens only when the exploration chooses it, so a pause needs no step of its own.
 * Workers fence by epoch but do not count their slots, so the owners alone must enforce the
 * capacity.
 */
final class FencingModel {
  private static final int NODES = 3;
  private static final int WORKERS = 2;
  private static final int REQUESTS = 3;

  /** Rules that can be disabled, to show that the exploration finds the resulting fault. */
  enum Fault {
    NONE,
    WORKER_ACCEPTS_LOWER_EPOCHS,
    OWNER_GRANTS_BEFORE_ADOPTING,
    OWNER_REPEATS_AN_OPEN_INTENT,
    INTENT_DOES_NOT_NAME_THE_BOOT,
    COMMAND_DOES_NOT_NAME_THE_BOOT
  }

  private final Fault fault;
  private final boolean workersRestart;
  private final Node[] nodes = new Node[NODES];
  private final Worker[] workers = new Worker[WORKERS];
  private final Request[] requests = new Request[REQUESTS];
  private final List<Step> inFlight = new ArrayList<>();
  private long epoch;
  private int tokens;
  private final List<String> trace = new ArrayList<>();

  FencingModel(Fault fault, boolean workersRestart) {
    this.fault = fault;
    this.workersRestart = workersRestart;
    for (int i = 0; i < NODES; i++) {
      nodes[i] = new Node(i);
    }
    for (int i = 0; i < WORKERS; i++) {
      workers[i] = new Worker(i);
    }
    for (int i = 0; i < REQUESTS; i++) {
      requests[i] = new Request(i);
    }
  }

  /** Takes one of the steps that are possible now. */
  void step(int choice) {
    List<Step> possible = possibleSteps();
    Step step = possible.get(Math.floorMod(choice, possible.size()));
    trace.add(step.label());
    step.action().run();
  }

  /** Takes the named steps in order, skipping those that are not possible. */
  void play(String... labels) {
    for (String label : labels) {
      possibleSteps().stream()
          .filter(step -> step.label().equals(label))
          .findFirst()
          .ifPresent(step -> step.action().run());
    }
  }

  /** Returns a description of the violated invariant, or an empty text. */
  String violation() {
    for (Request request : requests) {
      if (request.runs > 1) {
        return "request " + request.id + " ran " + request.runs + " times: " + trace;
      }
      if (request.answers > 1) {
        return "request " + request.id + " was answered twice: " + trace;
      }
      if (request.answeredNotRun && request.runs > 0) {
        return "request " + request.id + " ran and was answered as not run: " + trace;
      }
    }
    for (Worker worker : workers) {
      if (worker.running.size() > 1) {
        return "the slot of worker " + worker.id + " was granted twice: " + trace;
      }
    }
    return "";
  }

  private List<Step> possibleSteps() {
    List<Step> steps = new ArrayList<>();
    for (Node node : nodes) {
      steps.add(new Step("node " + node.id + " takes over", () -> takeOver(node)));
      if (node.epoch > 0) {
        addOwnerSteps(node, steps);
      }
    }
    for (Worker worker : workers) {
      for (int token : worker.running) {
        steps.add(new Step("task " + token + " ends", () -> worker.finish(token)));
      }
      if (workersRestart) {
        steps.add(new Step("worker " + worker.id + " restarts", worker::restart));
      }
    }
    for (Step message : List.copyOf(inFlight)) {
      steps.add(
          new Step(
              message.label(),
              () -> {
                inFlight.remove(message);
                message.action().run();
              }));
      steps.add(new Step(message.label() + " (and again later)", message.action()));
      steps.add(new Step(message.label() + " is lost", () -> inFlight.remove(message)));
    }
    return steps;
  }

  private void addOwnerSteps(Node node, List<Step> steps) {
    for (Worker worker : workers) {
      long claimed = node.epoch;
      steps.add(
          new Step(
              "node " + node.id + " asks worker " + worker.id + " for adoption",
              () ->
                  send(
                      "adopt " + worker.id + " by " + claimed,
                      () -> adopt(node, worker, claimed))));
    }
    for (Request request : requests) {
      steps.add(
          new Step(
              "node " + node.id + " reads request " + request.id,
              () -> node.read.put(request, request.record)));
      Row read = node.read.get(request);
      if (read != null && !read.answered()) {
        addRequestSteps(node, request, read, steps);
      }
    }
  }

  private void addRequestSteps(Node node, Request request, Row read, List<Step> steps) {
    for (Worker worker : workers) {
      if (mayRecordIntent(node, read) && mayGrant(node, worker)) {
        steps.add(
            new Step(
                "node " + node.id + " intends request " + request.id + " on " + worker.id,
                () -> recordIntent(node, request, read, worker)));
      }
    }
    boolean hasIntent = read.token() > 0 && node.intents.contains(read.token());
    if (hasIntent && !node.sent.contains(read.token())) {
      Worker worker = workers[read.worker()];
      if (mayGrant(node, worker)) {
        steps.add(
            new Step(
                "node " + node.id + " sends run " + read.token(), () -> run(node, request, read)));
      }
    }
    Adoption adoption = read.token() > 0 ? node.adopted.get(read.worker()) : null;
    if (adoption != null && adoption.finished().contains(read.token())) {
      steps.add(
          new Step(
              "node " + node.id + " answers request " + request.id,
              () -> answer(node, request, read, false)));
    }
    if (adoption != null && provenNotRun(node, read)) {
      steps.add(
          new Step(
              "node " + node.id + " answers request " + request.id + " as not run",
              () -> answer(node, request, read, true)));
    }
  }

  private boolean mayRecordIntent(Node node, Row read) {
    return read.token() == 0
        || fault == Fault.OWNER_REPEATS_AN_OPEN_INTENT
        || provenNotRun(node, read);
  }

  /**
   * Returns whether the intent provably never ran: the worker was adopted under a higher epoch, in
   * the same boot, and does not know the token.
   */
  private boolean provenNotRun(Node node, Row read) {
    Adoption adoption = node.adopted.get(read.worker());
    boolean sameBoot =
        adoption != null
            && (fault == Fault.INTENT_DOES_NOT_NAME_THE_BOOT || adoption.boot() == read.boot());
    return adoption != null
        && sameBoot
        && adoption.epoch() > read.epoch()
        && !adoption.known().contains(read.token());
  }

  private boolean mayGrant(Node node, Worker worker) {
    if (fault == Fault.OWNER_GRANTS_BEFORE_ADOPTING) {
      return true;
    }
    Adoption adoption = node.adopted.get(worker.id);
    return adoption != null && adoption.running() + node.granted(worker.id) < 1;
  }

  private void takeOver(Node node) {
    node.epoch = ++epoch;
    node.adopted.clear();
    node.grants.clear();
    node.intents.clear();
  }

  private void adopt(Node node, Worker worker, long claimed) {
    if (claimed < worker.highest && fault != Fault.WORKER_ACCEPTS_LOWER_EPOCHS) {
      return;
    }
    worker.highest = Math.max(worker.highest, claimed);
    Adoption adoption =
        new Adoption(
            claimed,
            worker.boot,
            worker.running.size(),
            Set.copyOf(worker.known),
            Set.copyOf(worker.finished));
    send(
        "adoption of " + worker.id + " by " + claimed,
        () -> {
          if (node.epoch == claimed) {
            node.adopted.put(worker.id, adoption);
          }
        });
  }

  /** Writes the intent if the record is unchanged since it was read. */
  private void recordIntent(Node node, Request request, Row read, Worker worker) {
    if (request.record.equals(read)) {
      Adoption adoption = node.adopted.get(worker.id);
      long boot = adoption == null ? worker.boot : adoption.boot();
      int token = ++tokens;
      request.record = new Row(token, node.epoch, worker.id, boot, false);
      node.intents.add(token);
      node.read.put(request, request.record);
    }
  }

  private void run(Node node, Request request, Row read) {
    node.sent.add(read.token());
    node.grants.merge(read.worker(), 1, Integer::sum);
    long claimed = node.epoch;
    Worker worker = workers[read.worker()];
    send(
        "run " + read.token() + " on " + worker.id + " by " + claimed,
        () -> worker.run(request, read, claimed));
  }

  private void answer(Node node, Request request, Row read, boolean notRun) {
    if (request.record.equals(read)) {
      request.record = new Row(read.token(), read.epoch(), read.worker(), read.boot(), true);
      request.answers++;
      request.answeredNotRun = notRun;
      node.read.put(request, request.record);
    }
  }

  private void send(String label, Runnable action) {
    if (inFlight.size() < 8) {
      inFlight.add(new Step("deliver " + label, action));
    }
  }

  private record Step(String label, Runnable action) {}

  private record Row(int token, long epoch, int worker, long boot, boolean answered) {}

  private record Adoption(
      long epoch, long boot, int running, Set<Integer> known, Set<Integer> finished) {}

  private static final class Node {
    private final int id;
    private long epoch;
    private final Map<Integer, Adoption> adopted = new HashMap<>();
    private final Map<Integer, Integer> grants = new HashMap<>();
    private final Map<Request, Row> read = new LinkedHashMap<>();
    private final Set<Integer> intents = new HashSet<>();
    private final Set<Integer> sent = new HashSet<>();

    private Node(int id) {
      this.id = id;
    }

    private int granted(int worker) {
      return grants.getOrDefault(worker, 0);
    }
  }

  private static final class Request {
    private final int id;
    private Row record = new Row(0, 0, 0, 0, false);
    private int runs;
    private int answers;
    private boolean answeredNotRun;

    private Request(int id) {
      this.id = id;
    }
  }

  private final class Worker {
    private final int id;
    private long highest;
    private long boot;
    private final Set<Integer> known = new HashSet<>();
    private final Set<Integer> running = new HashSet<>();
    private final Set<Integer> finished = new HashSet<>();

    private Worker(int id) {
      this.id = id;
    }

    private void run(Request request, Row read, long claimed) {
      boolean fenced = fault != Fault.WORKER_ACCEPTS_LOWER_EPOCHS;
      boolean sameBoot = read.boot() == boot || fault == Fault.COMMAND_DOES_NOT_NAME_THE_BOOT;
      boolean refused =
          (fenced && claimed < highest)
              || (claimed > highest && fault != Fault.OWNER_GRANTS_BEFORE_ADOPTING)
              || !sameBoot
              || known.contains(read.token());
      if (!refused) {
        known.add(read.token());
        running.add(read.token());
        request.runs++;
      }
    }

    private void finish(int token) {
      running.remove(token);
      finished.add(token);
    }

    private void restart() {
      boot++;
      highest = 0;
      known.clear();
      running.clear();
      finished.clear();
    }
  }
}
