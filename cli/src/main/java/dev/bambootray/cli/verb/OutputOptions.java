package dev.bambootray.cli.verb;

import picocli.CommandLine.Option;

/** Options that say how results are printed. */
final class OutputOptions {
  @Option(names = "--json", description = "Print results and errors as JSON, one value a line.")
  private boolean json;

  boolean json() {
    return json;
  }
}
