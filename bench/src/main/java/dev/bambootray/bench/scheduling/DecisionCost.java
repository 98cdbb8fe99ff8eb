package dev.bambootray.bench.scheduling;

import dev.bambootray.bench.report.BenchReport;
import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.RequestSpec;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.scheduling.QueuedJob;
import dev.bambootray.core.scheduling.RegionScheduler;
import dev.bambootray.core.scheduling.SchedulerEffect;
import dev.bambootray.core.scheduling.SchedulerEvent;
import dev.bambootray.core.worker.TaskId;
import it.unimi.dsi.fastutil.objects.ObjectArrayList;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Measures the time of one decision and the heap of the scheduler's state at several sizes. */
final class DecisionCost {
  private static final int[] WORKERS = {400, 4_000, 8_000};

  /** Running tasks for each worker: 45,000 at 4,000 workers. */
  private static final double TASKS_PER_WORKER = 11.25;

  private static final long SEED = 97;
  private static final int QUEUED = 500;

  private final Declaration declaration;
  private final RegionScheduler scheduler;
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
  private final ObjectArrayList<TaskId> running = new ObjectArrayList<>();
  private final Deque<SchedulerEvent> answers = new ArrayDeque<>();
  private final Histogram nanos = new Histogram(10_000_000_000L, 3);
  private boolean measuring;
  private long nowMs = 1_000;
  private int submitted;

  private DecisionCost(int workers) {
    this.declaration = Deployment.large(workers).declaration();
    this.scheduler =
        RegionScheduler.builder()
            .region(Deployment.REGION)
            .declaration(declaration)
            .owner(NodeId.of("bench"))
            .epoch(1)
            .random(RandomSource.SPLIT_MIX_64.create(SEED))
            .build();
  }

  /** Measures all sizes and the slopes of the heap. */
  static void measure(BenchReport report, boolean quick) {
    int steps = quick ? 4_000 : 40_000;
    double[] p99Ms = new double[WORKERS.length];
    for (int i = 0; i < WORKERS.length; i++) {
      DecisionCost cost = new DecisionCost(WORKERS[i]);
      cost.fill((int) (WORKERS[i] * TASKS_PER_WORKER));
      cost.churn(steps / 2);
      cost.measuring = true;
      cost.churn(steps);
      p99Ms[i] = cost.nanos.getValueAtPercentile(99) / 1e6;
      report.addRow(
          "cost",
          WORKERS[i] + " workers",
          cost.running.size() + " tasks",
          String.format(
              Locale.ROOT,
              "mean %.3f ms p99 %.3f ms max %.3f ms",
              cost.nanos.getMean() / 1e6,
              p99Ms[i],
              cost.nanos.getMaxValue() / 1e6));
    }
    report.measure("decision_p99_ms", p99Ms[1]);
    report.measure("decision_growth", p99Ms[1] / p99Ms[0]);
    HeapSlopes.measure(report);
  }

  /** Submits one-member jobs until the given number of tasks runs, and leaves a queue behind. */
  private void fill(int tasks) {
    for (WorkerId worker : declaration.workers().keySet()) {
      send(new SchedulerEvent.WorkerJoined(worker));
    }
    send(new SchedulerEvent.AdoptionCompleted());
    for (int i = 0; i < tasks; i++) {
      submit("t1");
      if (i % 100 == 0) {
        nowMs += 20;
      }
    }
    tick();
    for (int i = 0; i < QUEUED; i++) {
      submit(i % 10 == 0 ? "gang64" : i % 3 == 0 ? "gang" : "t4");
    }
    tick();
  }

  private void churn(int steps) {
    for (int i = 0; i < steps; i++) {
      nowMs += 11;
      if (random.nextBoolean() && !running.isEmpty()) {
        int index = random.nextInt(running.size());
        TaskId task = running.get(index);
        running.set(index, running.get(running.size() - 1));
        running.remove(running.size() - 1);
        send(new SchedulerEvent.TaskFinished(task, "{}"));
      } else {
        submit(random.nextInt(50) == 0 ? "gang" : random.nextInt(4) == 0 ? "t2" : "t1");
      }
      if (i % 10 == 0) {
        tick();
      }
    }
  }

  private void tick() {
    nowMs += 11;
    send(new SchedulerEvent.Tick());
  }

  private void submit(String template) {
    TemplateDeclaration declared = declaration.templates().get(TemplateId.of(template));
    if (declared == null) {
      throw new IllegalStateException("no template " + template);
    }
    int team = random.nextInt(declaration.workspaces().size());
    RequestSpec spec =
        new RequestSpec(
            RequestKey.of("team" + team, "j" + submitted++),
            declared.id(),
            "{}",
            Long.MAX_VALUE,
            true,
            false,
            nowMs,
            "");
    send(new SchedulerEvent.JobSubmitted(new QueuedJob(spec, declared, null)));
  }

  private void send(SchedulerEvent event) {
    answers.add(event);
    while (!answers.isEmpty()) {
      SchedulerEvent next = answers.poll();
      long before = System.nanoTime();
      List<SchedulerEffect> effects = scheduler.handle(next, nowMs);
      if (measuring) {
        nanos.recordValue(System.nanoTime() - before);
      }
      effects.forEach(this::answer);
    }
  }

  private void answer(SchedulerEffect effect) {
    if (effect instanceof SchedulerEffect.ReserveMember e) {
      answers.add(new SchedulerEvent.MemberReserved(e.task()));
    } else if (effect instanceof SchedulerEffect.AttemptReserved e) {
      answers.add(new SchedulerEvent.AttemptConfirmed(e.attempt()));
    } else if (effect instanceof SchedulerEffect.StartMember e) {
      running.add(e.task());
      answers.add(new SchedulerEvent.MemberStarted(e.task()));
    } else if (effect instanceof SchedulerEffect.CheckpointTask e) {
      running.remove(e.task());
      answers.add(new SchedulerEvent.TaskCheckpointed(e.task(), "checkpoint"));
    } else if (effect instanceof SchedulerEffect.StopTask e) {
      running.remove(e.task());
      answers.add(new SchedulerEvent.TaskStopped(e.task()));
    } else if (effect instanceof SchedulerEffect.ReleaseMember e) {
      running.remove(e.task());
      answers.add(new SchedulerEvent.TaskStopped(e.task()));
    }
  }

  /** Returns a scheduler with the given load, for measurements of its heap. */
  static Object loaded(int workers, int tasks, int queued) {
    DecisionCost cost = new DecisionCost(workers);
    cost.fillExactly(tasks, queued);
    return cost.scheduler;
  }

  private void fillExactly(int tasks, int queued) {
    for (WorkerId worker : declaration.workers().keySet()) {
      send(new SchedulerEvent.WorkerJoined(worker));
    }
    send(new SchedulerEvent.AdoptionCompleted());
    for (int i = 0; i < tasks; i++) {
      submit("t1");
      nowMs += i % 100 == 0 ? 20 : 0;
    }
    tick();
    // Without further placement the jobs of the last batch stay in the queue.
    for (int i = 0; i < queued; i++) {
      submit("t4");
    }
  }
}
