package dev.bambootray.soak;

import dev.bambootray.adapters.http.HttpApiServer;
import dev.bambootray.adapters.http.HttpLimits;
import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.RunName;
import dev.bambootray.jobs.model.StepSpec;
import dev.bambootray.jobs.model.TaskName;
import dev.bambootray.jobs.worker.RunEnd;
import dev.bambootray.jobs.worker.WorkerEntry;
import dev.bambootray.soak.wire.Documents;
import dev.bambootray.soak.wire.StandInStore;
import dev.bambootray.soak.wire.WorkerEndpoint;
import dev.bambootray.standins.jobs.SimulatedPoolWorker;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Workers with their lives, behind HTTP; confined to one event loop. */
final class SoakWorkers
    implements SimulatedPoolWorker.Environment, WorkerEndpoint.Observer, AutoCloseable {
  private static final Resources CAPACITY = new Resources(8, 32_000, 65_536);
  private static final int MIN_PER_RACK = 4;
  private static final int RACKS_OF_A_LARGE_POOL = 12;
  private static final int DOMAINS = 3;
  private static final long STEP_MS = 20;

  /** The platform removes the entry of a silent worker after three of its beats. */
  private static final long REMOVED_AFTER_MS = 4_500;

  /** Share of the workers that crash in a wave, and the longest time between their returns. */
  private static final double WAVE_SHARE = 0.5;

  private static final long WAVE_SPREAD_MS = 500;

  /** A worker that is back answers up to this long before its entry in the registry shows it. */
  private static final long LATEST_ENTRY_MS = 150;

  /** An entry that expired while the store was away is back within this time of its return. */
  private static final long LATEST_RENEWAL_MS = 2_000;

  /** Every second worker has a clock that is 2% slow, which the platform allows. */
  private static final double SLOW_CLOCK = 0.98;

  /** One address with one life after the other. */
  private final class Seat {
    private final int number;
    private final WorkerEndpoint endpoint;
    private final HttpApiServer server;
    private final LoopbackProxy proxy;
    private SimulatedPoolWorker life;
    private boolean present = true;
    private boolean draining;
    private int lives;

    private Seat(int number, EventLoopGroup group) {
      this.number = number;
      endpoint = new WorkerEndpoint(loop, this::nowMs, SoakWorkers.this);
      server = HttpApiServer.start(group, Documents.HOST, 0, endpoint, HttpLimits.defaults());
      proxy = LoopbackProxy.start(loop, server.port());
      life = begin("w" + number);
    }

    private long nowMs() {
      return number % 2 == 0 ? clock.getAsLong() : (long) (clock.getAsLong() * SLOW_CLOCK);
    }

    private SimulatedPoolWorker begin(String id) {
      lives++;
      String rack = "rack" + number / perRack;
      SimulatedPoolWorker begun =
          new SimulatedPoolWorker(
              new WorkerEntry(
                  id,
                  Documents.SERVICE,
                  Documents.HOST + ":" + proxy.port(),
                  "z" + number % DOMAINS,
                  rack,
                  Set.of("kind", rack),
                  CAPACITY,
                  System.currentTimeMillis(),
                  false),
              SoakWorkers.this);
      endpoint.setLife(begun);
      return begun;
    }

    private void register() {
      store.register(life.entry(), draining, lives);
    }

    private String nextName() {
      return "w" + number + "-" + lives;
    }

    private void leave() {
      present = false;
      endpoint.setLife(null);
      life.terminate();
      proxy.resetAll();
      proxy.setDown(random.nextBoolean());
    }

    private void comeBack(String id) {
      SimulatedPoolWorker begun = begin(id);
      life = begun;
      draining = false;
      present = true;
      proxy.setDown(false);
      later(
          random.nextLong(LATEST_ENTRY_MS),
          () -> {
            if (present && life == begun) {
              register();
            }
          });
    }
  }

  private final EventLoop loop;
  private final StandInStore store;
  private final PromiseBook book;
  private final LongSupplier clock;
  private final Map<String, SoakJob> jobs;
  private final SplittableRandom random;
  private final int perRack;
  private final List<Seat> seats = new ArrayList<>();

  /** Number of closures in force by failure domain. */
  private final Map<String, Integer> closedDomains = new HashMap<>();

  /**
   * Starts workers. Must not be called on the loop.
   *
   * @param jobs jobs by identifier, filled by the callers
   * @param count number of workers
   * @param seed decides how they come back
   */
  SoakWorkers(
      EventLoopGroup group,
      EventLoop loop,
      StandInStore store,
      PromiseBook book,
      LongSupplier clock,
      Map<String, SoakJob> jobs,
      int count,
      long seed) {
    this.loop = loop;
    this.store = store;
    this.book = book;
    this.clock = clock;
    this.jobs = jobs;
    random = new SplittableRandom(seed);
    perRack = Math.max(MIN_PER_RACK, count / RACKS_OF_A_LARGE_POOL);
    for (int i = 0; i < count; i++) {
      seats.add(new Seat(i, group));
    }
    var unusedTimer =
        loop.scheduleAtFixedRate(
            () -> seats.forEach(seat -> seat.endpoint.advance()),
            STEP_MS,
            STEP_MS,
            TimeUnit.MILLISECONDS);
  }

  /** Writes the entries of all workers. */
  void registerAll() {
    seats.forEach(Seat::register);
  }

  /** Removes the entries of all workers, which go on. */
  void expireEntries() {
    seats.forEach(seat -> store.unregister(seat.life.entry().id()));
  }

  /** Lets workers register again, as they do within two seconds of the return of the store. */
  void renewEntries() {
    for (Seat seat : seats) {
      SimulatedPoolWorker alive = seat.life;
      later(
          random.nextBoolean() ? 0 : random.nextLong(LATEST_RENEWAL_MS),
          () -> {
            if (seat.present && seat.life == alive) {
              seat.register();
            }
          });
    }
  }

  /** Closes the failure domain of a worker for a time; closures of a domain may overlap. */
  void closeDomain(int worker, long forMs) {
    String domain = seats.get(worker).life.entry().zone();
    closedDomains.merge(domain, 1, Integer::sum);
    store.closeDomain(domain);
    later(
        forMs,
        () -> {
          if (closedDomains.merge(domain, -1, Integer::sum) == 0) {
            store.openDomain(domain);
          }
        });
  }

  /** Returns the workers that may get runs. */
  List<SimulatedPoolWorker> open() {
    return seats.stream()
        .filter(seat -> seat.present && !seat.draining)
        .map(seat -> seat.life)
        .filter(life -> closedDomains.getOrDefault(life.entry().zone(), 0) == 0)
        .toList();
  }

  LoopbackProxy proxy(int worker) {
    return seats.get(worker).proxy;
  }

  /** Returns the present or last life of a worker. */
  SimulatedPoolWorker life(int worker) {
    return seats.get(worker).life;
  }

  /** Ends a life without a word; the next one begins after a time, under either name. */
  void crash(int worker, long forMs) {
    crash(seats.get(worker), random.nextBoolean(), forMs);
  }

  /** Crashes a worker and about half of the others; they come back under the names they had. */
  void crashSeveral(int worker, long forMs) {
    for (Seat seat : seats) {
      if (seat.number == worker || random.nextDouble() < WAVE_SHARE) {
        crash(seat, true, forMs + random.nextLong(WAVE_SPREAD_MS));
      }
    }
  }

  private void crash(Seat seat, boolean sameName, long forMs) {
    if (!seat.present) {
      return;
    }
    seat.leave();
    String old = seat.life.entry().id();
    if (!sameName) {
      later(REMOVED_AFTER_MS, () -> store.unregister(old));
    }
    later(forMs, () -> seat.comeBack(sameName ? old : seat.nextName()));
  }

  /** Announces that a worker leaves, and lets it go after a time. */
  void drain(int worker, long forMs) {
    Seat seat = seats.get(worker);
    if (!seat.present || seat.draining) {
      return;
    }
    seat.draining = true;
    seat.register();
    SimulatedPoolWorker leaving = seat.life;
    later(
        forMs,
        () -> {
          if (seat.present && seat.life == leaving) {
            seat.leave();
            store.unregister(leaving.entry().id());
            later(forMs, () -> seat.comeBack(seat.nextName()));
          }
        });
  }

  private void later(long delayMs, Runnable action) {
    var unusedTimer = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS);
  }

  /** Returns the runs at all workers. */
  List<RunName> running() {
    return seats.stream().flatMap(seat -> seat.life.runs().stream()).toList();
  }

  @Override
  public boolean isKnown(RunName run) {
    boolean known = jobs.containsKey(run.task().job());
    if (!known) {
      book.violate(run.task().job(), run + " is ordered, but nobody submitted the job");
    }
    return known;
  }

  @Override
  public void onStart(String worker, RunName run, String payload, String checkpoint) {
    book.started(worker, run, payload, checkpoint, running(), clock.getAsLong());
  }

  @Override
  public void onCheckpoint(RunName run, String checkpoint) {
    book.saved(run, checkpoint);
  }

  @Override
  public void onNoted(RunEnd end) {
    book.noted(end);
  }

  private SoakJob job(TaskName task) {
    return Objects.requireNonNull(jobs.get(task.job()), () -> "no job of " + task);
  }

  @Override
  public StepSpec step(TaskName task) {
    return job(task).steps().get(task.step());
  }

  @Override
  public long workMs(TaskName task) {
    return job(task).work().workMs(task.step(), task.index());
  }

  @Override
  public boolean fails(RunName run) {
    return job(run.task()).work().fails(run.task().step(), run.task().index(), run.run());
  }

  @Override
  public int presentGangMembers(RunName run) {
    return (int)
        running().stream()
            .filter(other -> other.run() == run.run())
            .filter(other -> other.task().job().equals(run.task().job()))
            .filter(other -> other.task().step() == run.task().step())
            .count();
  }

  @Override
  public double speed(RunName run, SimulatedPoolWorker worker) {
    return 1;
  }

  @Override
  public void onStart(SimulatedPoolWorker worker, RunName run) {
    // The endpoint tells the book, with what the order said.
  }

  @Override
  public void onEnd(SimulatedPoolWorker worker, RunEnd end, double unsavedMs) {
    book.ended(end);
  }

  @Override
  public void close() {
    for (Seat seat : seats) {
      seat.proxy.close();
      seat.server.close();
    }
  }
}
