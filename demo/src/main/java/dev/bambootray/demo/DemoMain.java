package dev.bambootray.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import dev.bambootray.daemon.StartError;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs both deployments in this process under load and failures, and counts the outcomes. */
@Command(
    name = "demo",
    description = "Runs whole deployments on loopback while parts of them fail.",
    mixinStandardHelpOptions = true)
public final class DemoMain implements Callable<Integer> {

  @Option(
      names = "--examples",
      paramLabel = "DIR",
      defaultValue = "examples",
      description = "Directory of the deployments (default: ${DEFAULT-VALUE}).")
  private Path examples = Path.of("examples");

  @Option(
      names = "--deployment",
      paramLabel = "NAME",
      description = "Run only this deployment; may be repeated.")
  private List<String> names = List.of("brodwaith", "tsagaan-tulga");

  @Option(names = "--json", description = "Print one JSON object instead of a table.")
  private boolean json;

  @Option(names = "--seed", defaultValue = "1", description = "Seed of the load.")
  private long seed;

  @Option(
      names = "--overlap",
      description = "Lose and drain nodes just before the store goes away.")
  private boolean overlap;

  private DemoMain() {}

  /** Runs the demonstration and exits with 1 if a promise was broken. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new DemoMain()).execute(args));
  }

  @Override
  public Integer call() throws InterruptedException, ExecutionException {
    List<DeploymentFiles> files = new ArrayList<>();
    for (String name : names) {
      Either<List<String>, DeploymentFiles> read = DeploymentFiles.read(examples.resolve(name));
      if (read.isLeft()) {
        read.getLeft().forEach(System.err::println);
        return 2;
      }
      files.add(read.get());
    }
    List<DemoResult> results = runAll(files);
    print(System.out, results);
    return results.stream().allMatch(DemoResult::isClean) ? 0 : 1;
  }

  private List<DemoResult> runAll(List<DeploymentFiles> files)
      throws InterruptedException, ExecutionException {
    ExecutorService threads = Executors.newFixedThreadPool(files.size());
    try {
      List<Future<DemoResult>> runs = new ArrayList<>();
      for (DeploymentFiles one : files) {
        runs.add(threads.submit(() -> runOne(one)));
      }
      List<DemoResult> results = new ArrayList<>();
      for (Future<DemoResult> run : runs) {
        results.add(run.get());
      }
      return results;
    } finally {
      threads.shutdown();
    }
  }

  private DemoResult runOne(DeploymentFiles files) throws InterruptedException {
    Either<StartError, Deployment> started = Deployment.start(files.declaration(), seed);
    if (started.isLeft()) {
      throw new IllegalStateException(started.getLeft().message());
    }
    try (Deployment deployment = started.get()) {
      return new DeploymentRun(files, deployment, System.err::println, overlap).run(seed);
    }
  }

  private void print(PrintStream out, List<DemoResult> results) {
    ObjectMapper mapper = new ObjectMapper();
    if (json) {
      try {
        out.println(
            mapper
                .enable(SerializationFeature.INDENT_OUTPUT)
                .writeValueAsString(DemoTotals.of(results)));
      } catch (JsonProcessingException e) {
        throw new UncheckedIOException(e);
      }
      return;
    }
    List<Map<String, Object>> columns =
        results.stream().map(result -> DemoTotals.flat(mapper, result)).toList();
    for (String row : columns.get(0).keySet()) {
      StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-22s", row));
      columns.forEach(column -> line.append(String.format(Locale.ROOT, "%16s", column.get(row))));
      out.println(line);
    }
    out.println(
        results.stream().allMatch(DemoResult::isClean)
            ? "Every promise held."
            : "A promise was broken.");
  }
}
