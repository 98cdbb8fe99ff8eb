package dev.bambootray.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.ExecutionStatus;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.worker.RefusalReason;
import dev.bambootray.core.worker.TaskId;
import dev.bambootray.core.worker.TaskPhase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks under random faults that each request gets one answer, that requests that are not
 * repeatable run at most once, that "not run" is true and that no target gets more runs than slots.
 * The faults are replies that are lost, connections that are silent, workers that cannot be queried
 * or are lost, rejected intents and cancelled requests.
 */
final class RouterFaultsTest {
  private static final int WORKERS = 4;
  private static final int SLOTS = 3;
  private static final int STEPS = 3_000;

  /** Simulates workers and network, whose actual state the router learns only from events. */
  private static final class SimulatedRegion {
    final RouterFixture fixture = new RouterFixture(WORKERS, SLOTS);
    final UniformRandomProvider random;
    final List<RequestKey> keys = new ArrayList<>();
    final Map<RequestKey, Boolean> repeatable = new HashMap<>();
    final Map<RequestKey, Integer> starts = new HashMap<>();
    final List<RouterEffect.RunOnTarget> inTransit = new ArrayList<>();
    final List<RouterEffect> pendingQueries = new ArrayList<>();
    final Map<TaskId, RouterEffect.RunOnTarget> running = new HashMap<>();
    final Map<TaskId, TaskPhase> phases = new HashMap<>();
    int slotExcess;

    SimulatedRegion(long seed) {
      random = RandomSource.SPLIT_MIX_64.create(seed);
    }

    void send(RouterEvent event) {
      for (RouterEffect effect : fixture.send(event)) {
        if (effect instanceof RouterEffect.RunOnTarget run) {
          inTransit.add(run);
        } else if (effect instanceof RouterEffect.CloseConnection close) {
          inTransit.removeIf(run -> run.task().equals(close.task()));
        } else if (effect instanceof RouterEffect.CancelRun cancel) {
          if (running.remove(cancel.task()) != null) {
            phases.put(cancel.task(), TaskPhase.STOPPED);
          }
        } else if (effect instanceof RouterEffect.QueryRunStatus
            || effect instanceof RouterEffect.RecordIntent
            || effect instanceof RouterEffect.ProbeTarget) {
          pendingQueries.add(effect);
        }
      }
    }

    void step() {
      switch (random.nextInt(9)) {
        case 0, 1 -> queue();
        case 2 -> send(new RouterEvent.RequestsCancelled(List.of(keys.get(0), anyKey())));
        case 3, 4 -> deliver();
        case 5 -> endRun(random.nextInt(4));
        case 6 -> reply(random.nextInt(5) == 0);
        case 7 -> {
          fixture.nowMs += random.nextInt(200);
          send(new RouterEvent.Tick());
        }
        default -> {
          if (random.nextInt(40) == 0) {
            loseWorker();
          }
        }
      }
    }

    private RequestKey anyKey() {
      return keys.get(random.nextInt(keys.size()));
    }

    void queue() {
      boolean mayRepeat = random.nextInt(5) < 3;
      QueuedRequest request = fixture.request("big", mayRepeat, 500 + random.nextInt(8_000));
      RequestKey key = request.spec().key();
      keys.add(key);
      repeatable.put(key, mayRepeat);
      send(new RouterEvent.RequestQueued(request));
    }

    /**
     * Delivers a command to its worker, loses the command or its reply, or reports that it was not
     * written.
     */
    void deliver() {
      if (inTransit.isEmpty()) {
        return;
      }
      RouterEffect.RunOnTarget run = inTransit.remove(random.nextInt(inTransit.size()));
      switch (random.nextInt(10)) {
        case 0 -> send(new RouterEvent.RunNotSent(run.task(), "no connection"));
        case 1 -> send(new RouterEvent.RunNoReply(run.task(), "reset"));
        case 2 -> {
          start(run);
          send(new RouterEvent.RunNoReply(run.task(), "reset"));
        }
        case 3 -> inTransit.add(run);
        default -> start(run);
      }
    }

    private void start(RouterEffect.RunOnTarget run) {
      long used = running.values().stream().filter(r -> r.worker().equals(run.worker())).count();
      if (used >= SLOTS) {
        slotExcess++;
        send(new RouterEvent.RunRefused(run.task(), RefusalReason.NO_CAPACITY));
        return;
      }
      starts.merge(run.key(), 1, Integer::sum);
      running.put(run.task(), run);
      phases.put(run.task(), TaskPhase.RUNNING);
    }

    /** Ends a run; its reply arrives, its connection fails, or no reply comes. */
    void endRun(int outcome) {
      if (running.isEmpty()) {
        return;
      }
      List<TaskId> tasks = running.keySet().stream().sorted(this::byText).toList();
      TaskId task = tasks.get(random.nextInt(tasks.size()));
      running.remove(task);
      phases.put(task, outcome == 3 ? TaskPhase.FAILED : TaskPhase.FINISHED);
      switch (outcome) {
        case 0 -> send(new RouterEvent.RunAnswered(task, "1"));
        case 1 -> send(new RouterEvent.RunNoReply(task, "reset"));
        case 3 -> send(new RouterEvent.RunFailed(task, "broken"));
        default -> {}
      }
    }

    private int byText(TaskId a, TaskId b) {
      return a.text().compareTo(b.text());
    }

    void reply(boolean fault) {
      if (pendingQueries.isEmpty()) {
        return;
      }
      RouterEffect pending = pendingQueries.remove(random.nextInt(pendingQueries.size()));
      if (pending instanceof RouterEffect.RecordIntent intent) {
        send(
            fault
                ? new RouterEvent.IntentRejected(intent.task())
                : new RouterEvent.IntentRecorded(intent.task()));
      } else if (pending instanceof RouterEffect.ProbeTarget probe) {
        send(
            fault
                ? new RouterEvent.ProbeMissed(probe.worker())
                : new RouterEvent.ProbeAnswered(probe.worker()));
      } else if (pending instanceof RouterEffect.QueryRunStatus query) {
        send(
            fault
                ? new RouterEvent.RunStatusUnavailable(query.task(), "timeout")
                : new RouterEvent.RunStatusReceived(
                    RouterFixture.snapshot(
                        query.task(),
                        RequestKey.of("big", "any"),
                        phases.getOrDefault(query.task(), TaskPhase.UNKNOWN),
                        "2")));
      }
    }

    void loseWorker() {
      WorkerId worker = RouterFixture.worker(random.nextInt(WORKERS));
      running.values().removeIf(run -> run.worker().equals(worker));
      inTransit.removeIf(run -> run.worker().equals(worker));
      send(new RouterEvent.TargetLost(worker));
      send(new RouterEvent.TargetJoined(worker));
    }

    void drain() {
      for (int i = 0; i < 4_000; i++) {
        fixture.nowMs += 10;
        send(new RouterEvent.Tick());
        while (!pendingQueries.isEmpty()) {
          reply(false);
        }
        if (i % 3 == 0) {
          endRun(0);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
  void keepEveryInvariant(long seed) {
    SimulatedRegion region = new SimulatedRegion(seed);
    region.queue();
    for (int i = 0; i < STEPS; i++) {
      region.step();
    }
    region.drain();
    assertEquals(0, region.slotExcess, "runs sent to targets without a free slot");
    for (RequestKey key : region.keys) {
      assertEquals(1, region.fixture.answersOf(key), "answers of " + key);
      int starts = region.starts.getOrDefault(key, 0);
      if (!region.repeatable.get(key)) {
        assertTrue(starts <= 1, key + " is not repeatable and started " + starts + " times");
      }
      if (region.fixture.refusalOf(key) != null
          && region.fixture.refusalOf(key).ran() == ExecutionStatus.NO) {
        assertEquals(0, starts, key + " was answered as not run");
      }
    }
  }
}
