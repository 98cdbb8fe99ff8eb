package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkspaceId;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Estimates the run times of each template and workspace by quantiles of the latest runs.
 *
 * <p>With too few runs of the workspace it falls back to all runs of the template, and then to the
 * declared run time. The declared maximum caps every estimate.
 */
final class QuantileRunTimeEstimator implements RunTimeEstimator {
  /** Number of runs in a sample; older runs may come from another version of the work. */
  private static final int MAX_SAMPLE_SIZE = 32;

  /** Smallest sample that is used; with fewer runs a quantile says little. */
  private static final int MIN_SAMPLE_SIZE = 3;

  /**
   * Factor on the declared run time for promises, since it may be too short, until runs are known.
   */
  private static final long UNMEASURED_FACTOR = 4;

  private static final double TYPICAL = 0.5;
  private static final double CAUTIOUS = 0.9;

  private final Map<Key, Sample> samples = new HashMap<>();

  @Override
  public long typicalMs(Job job) {
    return estimate(job, TYPICAL);
  }

  @Override
  public long cautiousMs(Job job) {
    return estimate(job, CAUTIOUS);
  }

  @Override
  public long pessimisticMs(Job job) {
    return estimate(job, 1);
  }

  private long estimate(Job job, double quantile) {
    TemplateId template = job.request.template().id();
    long declaredMs = Math.max(1, job.request.template().expectedRunMs());
    long capMs = Math.max(1, job.request.template().maxRunMs());
    Sample own = samples.get(new Key(template, job.workspace()));
    Sample sample =
        own != null && own.count >= MIN_SAMPLE_SIZE ? own : samples.get(new Key(template, null));
    long unlearnedMs = quantile > CAUTIOUS ? UNMEASURED_FACTOR * declaredMs : declaredMs;
    long estimateMs =
        sample != null && sample.count >= MIN_SAMPLE_SIZE ? sample.quantile(quantile) : unlearnedMs;
    return Math.min(estimateMs, capMs);
  }

  @Override
  public void observe(Job job, long ranMs) {
    TemplateId template = job.request.template().id();
    sample(new Key(template, job.workspace())).add(ranMs);
    sample(new Key(template, null)).add(ranMs);
  }

  private Sample sample(Key key) {
    return samples.computeIfAbsent(key, k -> new Sample());
  }

  private record Key(TemplateId template, @Nullable WorkspaceId workspace) {}

  /** The latest run times, in order of arrival and sorted. */
  private static final class Sample {
    private final long[] latest = new long[MAX_SAMPLE_SIZE];
    private long[] sorted = {};
    private int count;

    void add(long ranMs) {
      latest[count % MAX_SAMPLE_SIZE] = Math.max(1, ranMs);
      count++;
      sorted = Arrays.copyOf(latest, Math.min(count, MAX_SAMPLE_SIZE));
      Arrays.sort(sorted);
    }

    long quantile(double quantile) {
      return sorted[(int) Math.min(sorted.length - 1, quantile * sorted.length)];
    }
  }
}
