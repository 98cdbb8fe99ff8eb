package dev.bambootray.ports;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.worker.WorkerEntry;
import java.util.Optional;

/** Parses the rows that operators and workers write into the platform's store. */
public interface PlatformDocumentReader {

  /** Returns the table that holds the operator's configuration. */
  String declarationTable();

  /** Returns the key of the configuration in its table. */
  String declarationKey();

  /**
   * Returns the failure domain that a row of the declaration table closes for as long as the row
   * exists; empty for other rows.
   *
   * @param key key of the row
   */
  Optional<String> closedDomain(String key);

  /** Returns the table in which workers register; a row's key is the worker's identifier. */
  String workerTable();

  /** Reads a configuration; empty if the row holds no readable configuration. */
  Optional<JobDeclaration> declaration(Row row);

  /** Reads the entry of a worker; empty if the row does not describe a usable worker. */
  Optional<WorkerEntry> worker(Row row);
}
