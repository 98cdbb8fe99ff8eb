package dev.bambootray.bench.scheduling;

import dev.bambootray.core.declaration.Declaration;
import dev.bambootray.core.declaration.TemplateDeclaration;
import dev.bambootray.core.model.RequestKey;
import dev.bambootray.core.model.TemplateId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A seeded trace of jobs and faults.
 *
 * <p>It holds a steady stream with heavy-tailed run times, bursts of small and of large jobs,
 * declared run times that are ten times wrong either way for some kinds of work, impossible jobs,
 * cancellation waves, urgent claims of guarantees, a worker that fails every task and a lost rack.
 */
final class Trace {
  private static final List<String> WORKSPACES = List.of("large", "medium", "small", "guest");
  private static final double[] WORKSPACE_SHARES = {0.35, 0.25, 0.15, 0.25};
  private static final int ACCELERATORS = 256;

  /** Share of the kinds of work whose declared run time is wrong. */
  private static final double WRONG_KINDS = 0.35;

  /** Largest ratio of a run time to the typical one of its kind. */
  private static final double MOST_SPREAD = 8;

  final List<Arrival> arrivals;
  final long horizonMs;
  final long failingFromMs;
  final long failingToMs;
  final long rackLostAtMs;
  final long rackBackAtMs;

  private Trace(List<Arrival> arrivals, long horizonMs) {
    this.arrivals = arrivals;
    this.horizonMs = horizonMs;
    this.failingFromMs = horizonMs / 5;
    this.failingToMs = horizonMs / 2;
    this.rackLostAtMs = horizonMs * 6 / 10;
    this.rackBackAtMs = horizonMs * 7 / 10;
  }

  /** Returns the trace of the first deployment: mostly short jobs. */
  static Trace first(Declaration declaration, long seed, long horizonMs) {
    Maker maker = new Maker(declaration, seed, horizonMs);
    maker.stream("tiny", 0.16);
    maker.stream("quad", 0.18);
    maker.stream("plain", 0.12);
    maker.stream("once", 0.08);
    maker.stream("gang64", 0.06);
    maker.burst("tiny", 300, 0.25);
    maker.burst("plain", 120, 0.45);
    maker.burst("quad", 80, 0.75);
    maker.burst("wide", 3, 0.5);
    return maker.finish("wide");
  }

  /** Returns the trace of the second deployment: long jobs that need whole workers. */
  static Trace second(Declaration declaration, long seed, long horizonMs) {
    Maker maker = new Maker(declaration, seed, horizonMs);
    maker.stream("single", 0.08);
    maker.stream("once", 0.06);
    maker.stream("short", 0.10);
    maker.stream("long", 0.16);
    maker.stream("pair", 0.10);
    maker.stream("gang64", 0.05);
    maker.burst("single", 200, 0.25);
    maker.burst("long", 12, 0.45);
    maker.burst("pair", 6, 0.75);
    return maker.finish("pair");
  }

  /** Draws the jobs of one trace. */
  private static final class Maker {
    private final Declaration declaration;
    private final UniformRandomProvider random;
    private final long horizonMs;
    private final List<Arrival> arrivals = new ArrayList<>();
    private final Map<String, Double> errors = new HashMap<>();

    Maker(Declaration declaration, long seed, long horizonMs) {
      this.declaration = declaration;
      this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      this.horizonMs = horizonMs;
    }

    /** Adds Poisson arrivals that use the given share of the pool on average. */
    void stream(String template, double share) {
      TemplateDeclaration declared = template(template);
      double meanGapMs =
          errorOf(template)
              * declared.expectedRunMs()
              * declared.shape().totalAccelerators()
              / (ACCELERATORS * share);
      for (double at = gap(meanGapMs); at < horizonMs; at += gap(meanGapMs)) {
        add((long) at, workspace(), template, false);
      }
    }

    /** Adds jobs of one workspace that arrive within two seconds. */
    void burst(String template, int count, double at) {
      String workspace = workspace();
      for (int i = 0; i < count; i++) {
        add((long) (horizonMs * at) + random.nextInt(2_000), workspace, template, false);
      }
    }

    Trace finish(String largest) {
      urgent("large", largest, horizonMs / 8);
      urgent("medium", "whole", horizonMs / 16);
      urgent("small", "half", horizonMs / 16);
      for (int i = 0; i < arrivals.size() / 100 + 1; i++) {
        add(random.nextLong(horizonMs), workspace(), "impossible", false);
      }
      cancelWave(0.26, "medium");
      cancelWave(0.46, "guest");
      cancelWave(0.76, "large");
      arrivals.sort(Comparator.comparingLong(Arrival::atMs));
      return new Trace(arrivals, horizonMs);
    }

    private void urgent(String workspace, String template, long everyMs) {
      for (long at = everyMs / 2; at < horizonMs; at += everyMs) {
        add(at + random.nextLong(everyMs / 8), workspace, template, true);
      }
    }

    /** Cancels nearly half of what a workspace submitted shortly before a point in time. */
    private void cancelWave(double at, String workspace) {
      long atMs = (long) (horizonMs * at);
      arrivals.replaceAll(
          a ->
              a.atMs() < atMs
                      && a.atMs() > atMs - 90_000
                      && a.key().workspace().value().equals(workspace)
                      && !a.urgent()
                      && random.nextDouble() < 0.4
                  ? new Arrival(a.atMs(), a.key(), a.template(), a.runMs(), false, atMs)
                  : a);
    }

    private void add(long atMs, String workspace, String template, boolean urgent) {
      double spread = Math.min(MOST_SPREAD, Math.exp(0.8 * gaussian() - 0.32));
      double meanMs = template(template).expectedRunMs() * errorOf(template);
      long runMs = (long) Math.max(1_000, meanMs * spread);
      RequestKey key = RequestKey.of(workspace, template + "-" + arrivals.size());
      arrivals.add(new Arrival(atMs, key, TemplateId.of(template), runMs, urgent, -1));
    }

    /** Short kinds may run ten times as long as declared; long kinds ten times as short. */
    private double errorOf(String template) {
      return errors.computeIfAbsent(template, this::drawError);
    }

    private double drawError(String template) {
      if (random.nextDouble() >= WRONG_KINDS) {
        return 1;
      }
      return template(template).expectedRunMs() <= 60_000 ? 10 : 0.1;
    }

    private TemplateDeclaration template(String name) {
      TemplateDeclaration template = declaration.templates().get(TemplateId.of(name));
      if (template == null) {
        throw new IllegalArgumentException("no template " + name);
      }
      return template;
    }

    private String workspace() {
      double draw = random.nextDouble();
      for (int i = 0; i < WORKSPACE_SHARES.length; i++) {
        draw -= WORKSPACE_SHARES[i];
        if (draw < 0) {
          return WORKSPACES.get(i);
        }
      }
      return WORKSPACES.get(0);
    }

    private double gap(double meanMs) {
      return -meanMs * Math.log(1 - random.nextDouble());
    }

    private double gaussian() {
      double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
      return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }
  }
}
