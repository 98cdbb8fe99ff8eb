package dev.bambootray.soak;

import java.nio.file.Path;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * How a run of the soak is set up.
 *
 * @param jar program of a node
 * @param previousJar program that all nodes begin with before they are replaced, or null
 * @param directory where settings and logs go
 * @param nodes number of nodes
 * @param workers number of workers
 * @param faultsMs time within which faults begin
 * @param settleMs time for work to end after the last fault
 * @param without kinds of faults that are left out of the plan
 * @param load what callers submit
 */
record SoakOptions(
    Path jar,
    @Nullable Path previousJar,
    Path directory,
    int nodes,
    int workers,
    long faultsMs,
    long settleMs,
    Set<FaultKind> without,
    SoakLoad load) {
  SoakOptions {
    without = Set.copyOf(without);
  }

  /** Returns the program that the nodes begin with. */
  Path firstJar() {
    return previousJar == null ? jar : previousJar;
  }
}
