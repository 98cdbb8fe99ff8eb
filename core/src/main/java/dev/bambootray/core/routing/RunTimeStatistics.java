package dev.bambootray.core.routing;

/**
 * Statistics of the run times of one template: mean, mean logarithm and quantiles. All sums and
 * counts are halved each time 4,000 samples have been taken, so that old samples lose weight.
 */
final class RunTimeStatistics {
  private static final int STEPS_PER_OCTAVE = 8;
  private static final int BUCKETS = 25 * STEPS_PER_OCTAVE;
  private static final int MAX_SAMPLES = 4_000;
  private static final int MIN_SAMPLES_FOR_QUANTILE = 100;

  /** Number of samples that the declared run time counts as; few, because it may be off tenfold. */
  private static final int PRIOR_SAMPLES = 3;

  private final long declaredMs;
  private final int[] counts = new int[BUCKETS];
  private int samples;
  private double sumMs;
  private double sumLog;
  private double cachedQuantile = -1;
  private long cachedQuantileMs = -1;
  private int samplesUntilRefresh;

  RunTimeStatistics(long declaredMs) {
    this.declaredMs = Math.max(1, declaredMs);
  }

  /** Adds the run time of a run that has ended. */
  void record(long runMs) {
    double atLeastOne = Math.max(1, runMs);
    counts[bucketOf(atLeastOne)]++;
    samples++;
    sumMs += atLeastOne;
    sumLog += Math.log(atLeastOne);
    samplesUntilRefresh--;
    if (samples >= MAX_SAMPLES) {
      halveSamples();
    }
  }

  /** Returns the mean run time in milliseconds. */
  double meanMs() {
    return (sumMs + PRIOR_SAMPLES * (double) declaredMs) / (samples + PRIOR_SAMPLES);
  }

  /** Returns the natural logarithm of the ratio of a run time to the geometric mean. */
  double logRatio(long runMs) {
    double usual =
        (sumLog + PRIOR_SAMPLES * Math.log((double) declaredMs)) / (samples + PRIOR_SAMPLES);
    return Math.log((double) Math.max(1, runMs)) - usual;
  }

  /** Returns whether there are enough samples to estimate quantiles. */
  boolean hasQuantiles() {
    return samples >= MIN_SAMPLES_FOR_QUANTILE;
  }

  /** Returns a quantile of run time in milliseconds, recomputed every 64 samples. */
  long quantileMs(double quantile) {
    if (quantile == cachedQuantile && samplesUntilRefresh > 0) {
      return cachedQuantileMs;
    }
    cachedQuantile = quantile;
    samplesUntilRefresh = 64;
    cachedQuantileMs = findQuantile(quantile);
    return cachedQuantileMs;
  }

  private long findQuantile(double quantile) {
    double wanted = quantile * samples;
    int seen = 0;
    for (int i = 0; i < BUCKETS; i++) {
      seen += counts[i];
      if (seen >= wanted && seen > 0) {
        return (long) Math.ceil(Math.pow(2, (i + 1) / (double) STEPS_PER_OCTAVE));
      }
    }
    return declaredMs;
  }

  private void halveSamples() {
    samples = 0;
    for (int i = 0; i < BUCKETS; i++) {
      counts[i] /= 2;
      samples += counts[i];
    }
    sumMs /= 2;
    sumLog /= 2;
  }

  private static int bucketOf(double runMs) {
    int bucket = (int) (Math.log(runMs) / Math.log(2) * STEPS_PER_OCTAVE);
    return Math.min(BUCKETS - 1, bucket);
  }
}
