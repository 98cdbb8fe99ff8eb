package dev.bambootray.bench;

import dev.bambootray.bench.control.ControlCommand;
import dev.bambootray.bench.jobs.JobCost;
import dev.bambootray.bench.jobs.JobsBench;
import dev.bambootray.bench.routing.RoutingBench;
import dev.bambootray.bench.scheduling.SchedulingBench;
import dev.bambootray.bench.sockets.SocketBench;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of {@code bin/bench}; each benchmark is a subcommand. */
@Command(
    name = "bench",
    description = "Runs a benchmark and checks it against its bounds.",
    mixinStandardHelpOptions = true,
    subcommands = {
      ControlCommand.class,
      JobCost.class,
      JobsBench.class,
      RoutingBench.class,
      SchedulingBench.class,
      SocketBench.class
    })
public final class BenchMain {
  private BenchMain() {}

  /** Runs the benchmark that the arguments name and exits with its code. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new BenchMain()).execute(args));
  }
}
