package dev.bambootray.soak;

import dev.bambootray.standins.FreePorts;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Entry point of {@code bin/soak}. */
@Command(
    name = "soak",
    description = "Runs real nodes under random faults and checks what callers and workers see.",
    mixinStandardHelpOptions = true)
public final class SoakMain implements Callable<Integer> {
  private static final int MOST_NODES = 40;

  @Option(
      names = "--seeds",
      paramLabel = "FIRST-LAST",
      description = "Seeds to play; by default one drawn from the time.")
  private String seeds = "";

  @Option(
      names = "--regressions",
      paramLabel = "FILE",
      description = "Also play the seeds at the beginnings of the lines of a file.")
  private String regressions = "";

  @Option(names = "--nodes", defaultValue = "4", description = "Nodes, default ${DEFAULT-VALUE}.")
  private int nodes;

  @Option(
      names = "--workers",
      defaultValue = "12",
      description = "Workers, default ${DEFAULT-VALUE}.")
  private int workers;

  @Option(
      names = "--seconds",
      defaultValue = "15",
      description = "Time within which faults begin, default ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--settle-seconds",
      defaultValue = "40",
      description = "Time for work to end after the faults, default ${DEFAULT-VALUE}.")
  private int settleSeconds;

  @Option(
      names = "--jobs",
      defaultValue = "2",
      description = "Runs at the same time, default ${DEFAULT-VALUE}.")
  private int parallel;

  @Option(
      names = "--jar",
      defaultValue = "target/bambootray-node.jar",
      description = "Program of a node, default ${DEFAULT-VALUE}.")
  private Path jar = Path.of("target/bambootray-node.jar");

  @Option(
      names = "--previous",
      paramLabel = "COMMIT",
      description = "Begin with the build of a commit and replace it, node by node.")
  private @Nullable Path previous;

  @Option(
      names = "--without",
      paramLabel = "KIND",
      split = ",",
      description = "Kinds of faults to leave out, such as those that a previous build fails.")
  private Set<FaultKind> without = EnumSet.noneOf(FaultKind.class);

  @Option(
      names = "--wide",
      description = "Submit wide and long jobs, four times what the workers can serve.")
  private boolean wide;

  @Option(
      names = "--keep",
      defaultValue = "target/soak",
      description = "Where logs of the nodes go, default ${DEFAULT-VALUE}.")
  private Path keep = Path.of("target/soak");

  private SoakMain() {}

  /** Plays the seeds that the arguments name and exits with 1 if a promise was broken. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new SoakMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException, ExecutionException {
    if (!Files.exists(jar)) {
      System.err.println(jar + ": no such file; build it with mvn -pl platform -am package");
      return 2;
    }
    if (previous != null && !Files.exists(previous)) {
      System.err.println(previous + ": no such file; bin/soak builds the commit that it is given");
      return 2;
    }
    if (nodes < 1 || nodes * parallel > MOST_NODES || workers < 1) {
      System.err.println("--nodes, --workers, --jobs: expected 1 to " + MOST_NODES + " nodes");
      return 2;
    }
    try {
      FreePorts.reserve();
    } catch (IllegalStateException e) {
      System.err.println("soak: " + e.getMessage());
      return 2;
    }
    List<Long> toPlay = seedsToPlay();
    ExecutorService pool = Executors.newFixedThreadPool(parallel);
    List<Future<SoakResult>> results = new ArrayList<>();
    for (long seed : toPlay) {
      results.add(pool.submit(() -> SoakRun.play(seed, options(seed))));
    }
    pool.shutdown();
    int failed = 0;
    for (Future<SoakResult> result : results) {
      print(result.get(), System.out);
      failed += result.get().passed() ? 0 : 1;
    }
    System.out.println(toPlay.size() + " seeds, " + failed + " failed");
    return failed == 0 ? 0 : 1;
  }

  private SoakOptions options(long seed) {
    return new SoakOptions(
        jar.toAbsolutePath(),
        previous == null ? null : previous.toAbsolutePath(),
        keep.resolve("seed-" + seed).toAbsolutePath(),
        nodes,
        workers,
        seconds * 1_000L,
        settleSeconds * 1_000L,
        without,
        wide ? SoakLoad.wide(workers) : SoakLoad.SMALL);
  }

  private List<Long> seedsToPlay() throws IOException {
    List<Long> list = new ArrayList<>();
    if (!regressions.isEmpty()) {
      Files.readAllLines(Path.of(regressions)).stream()
          .filter(line -> !line.isBlank() && !line.startsWith("#"))
          .forEach(line -> list.add(Long.parseLong(line.split("\\s+", 2)[0])));
    }
    if (!seeds.isEmpty()) {
      String[] bounds = seeds.split("-", 2);
      long last = Long.parseLong(bounds[bounds.length - 1]);
      for (long seed = Long.parseLong(bounds[0]); seed <= last; seed++) {
        list.add(seed);
      }
    }
    if (list.isEmpty()) {
      list.add(System.currentTimeMillis());
    }
    return list;
  }

  private static void print(SoakResult result, PrintStream out) {
    String verdict = result.passed() ? " passed " : " FAILED ";
    out.println("seed " + result.seed() + verdict + new TreeMap<>(result.counts()));
    result.violations().forEach(violation -> out.println("  " + violation));
  }
}
