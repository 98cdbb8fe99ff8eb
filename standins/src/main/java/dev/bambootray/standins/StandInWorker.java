package dev.bambootray.standins;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import java.util.Collection;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Stands in for a worker and its agent. A task takes {@code runMs} milliseconds, fails if {@code
 * fail} is true, and returns {@code resultBytes} of text besides its own name; these are members of
 * the request's parameters. {@code POST /control} takes the faults as JSON ({@code latencyMs},
 * {@code away}, {@code lostAnswerShare}, {@code requestsPerSecond}, {@code failEveryTask}, {@code
 * silenceOpenConnections}, {@code paused}, {@code leave}) and returns counters.
 */
public final class StandInWorker implements AutoCloseable {
  /** Connections that a worker accepts at a time. */
  public static final int MAX_CONNECTIONS = 64;

  private static final String AGENT = "/agent/";
  private static final long SWEEP_MS = 100;

  /**
   * What the worker is.
   *
   * @param name its name
   * @param region its region
   * @param slots requests of services that it runs at a time
   * @param accelerators its accelerators
   * @param millicores its processor time in thousandths of a core
   * @param memoryMib its memory in MiB
   */
  public record Spec(
      String name, String region, int slots, int accelerators, int millicores, int memoryMib) {

    /** Returns a worker with 8 slots, 8 accelerators, 32 cores and 64 GiB. */
    public static Spec standard(String name, String region) {
      return new Spec(name, region, 8, 8, 32_000, 65_536);
    }

    /** Returns whether a gang member fits beside the tasks that the worker holds. */
    boolean fits(WorkerTask wanted, Collection<WorkerTask> tasks) {
      int first = wanted.firstAccelerator;
      int freeMillicores = millicores - wanted.millicores;
      int freeMemoryMib = memoryMib - wanted.memoryMib;
      boolean free = first >= 0 && first + wanted.accelerators <= accelerators;
      for (WorkerTask task : tasks) {
        free &= !task.overlaps(first, wanted.accelerators);
        freeMillicores -= task.isLive() ? task.millicores : 0;
        freeMemoryMib -= task.isLive() ? task.memoryMib : 0;
      }
      return free && freeMillicores >= 0 && freeMemoryMib >= 0;
    }
  }

  private final Spec spec;
  private final WorkerAgent agent;
  private final HttpStandIn server;
  private final Future<?> sweeps;

  private StandInWorker(
      Spec spec,
      EventLoopGroup group,
      ScheduledExecutorService timers,
      RunLedger ledger,
      long seed) {
    this.spec = spec;
    agent = new WorkerAgent(spec, ledger, timers, System::currentTimeMillis);
    server = new HttpStandIn(group, seed, MAX_CONNECTIONS, this::route);
    sweeps = timers.scheduleWithFixedDelay(agent::sweep, SWEEP_MS, SWEEP_MS, MILLISECONDS);
  }

  /**
   * Starts a worker on a free loopback port.
   *
   * @param spec what the worker is
   * @param group event loops for its connections
   * @param timers runs its tasks; may be shared by many workers
   * @param ledger records its runs; may be shared by many workers
   * @param seed seed of its random faults
   */
  public static StandInWorker start(
      Spec spec,
      EventLoopGroup group,
      ScheduledExecutorService timers,
      RunLedger ledger,
      long seed) {
    return new StandInWorker(spec, group, timers, ledger, seed);
  }

  /** Returns what the worker is. */
  public Spec spec() {
    return spec;
  }

  /** Returns the server of its agent, which carries the faults of its connections. */
  public HttpStandIn server() {
    return server;
  }

  /** Lets every task that ends from now on fail. */
  public void setFailEveryTask(boolean value) {
    agent.setFailEveryTask(value);
  }

  /** Refuses new work from now on and says so in polls. */
  public void leave() {
    agent.leave();
  }

  /** Ends all tasks and connections at once, as when the machine fails. */
  public void die() {
    agent.die();
    close();
  }

  /** Returns peaks and refusals of slots and connections so far, as JSON. */
  public JsonNode counters() {
    return agent.counters().setAll(server.counters());
  }

  @Override
  public void close() {
    sweeps.cancel(false);
    server.close();
  }

  private void route(HttpCall call) {
    if (call.path().startsWith(AGENT)) {
      agent.handle(call.path().substring(AGENT.length()), call);
    } else if (call.path().equals("/control")) {
      control(call.json());
      call.answer(200, counters());
    } else {
      call.answer(404, HttpCall.JSON.createObjectNode());
    }
  }

  private void control(JsonNode change) {
    server.control(change);
    if (change.has("failEveryTask")) {
      setFailEveryTask(change.get("failEveryTask").asBoolean());
    }
    if (change.path("leave").asBoolean()) {
      leave();
    }
  }
}
