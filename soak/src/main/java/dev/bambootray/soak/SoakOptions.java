package dev.bambootray.soak;

import java.nio.file.Path;

/**
 * How a run of the soak is set up.
 *
 * @param jar program of a node
 * @param directory where settings and logs go
 * @param nodes number of nodes
 * @param workers number of workers
 * @param faultsMs time within which faults begin
 * @param settleMs time for work to end after the last fault
 */
record SoakOptions(
    Path jar, Path directory, int nodes, int workers, long faultsMs, long settleMs) {}
