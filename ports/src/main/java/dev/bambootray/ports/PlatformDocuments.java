package dev.bambootray.ports;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.Optional;

/** Reads what operators and workers write into the platform's store. */
public interface PlatformDocuments {

  /** Returns the table that holds the operator's configuration. */
  String declarationTable();

  /** Returns the key of the configuration in its table. */
  String declarationKey();

  /** Returns the table in which workers register; a row's key is the worker's identifier. */
  String workerTable();

  /** Reads a configuration; empty if the row holds none that can be read. */
  Optional<JobDeclaration> declaration(Row row);

  /** Reads the entry of a worker; empty if the row names no worker that can be used. */
  Optional<WorkerEntry> worker(Row row);
}
