package dev.bambootray.daemon.jobs;

import dev.bambootray.core.model.Resources;
import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.worker.WorkerEntry;
import dev.bambootray.ports.PlatformDocumentReader;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decodes test rows: the text of a declaration is its version, and all workers have the same
 * resources.
 */
final class FakeDocuments implements PlatformDocumentReader {
  static final String WORKERS = "workers";

  /** Prefix of the keys of closed failure domains. */
  static final String CLOSED = "closed/";

  /** Value of a worker entry that fails to decode with an unexpected exception. */
  static final String BROKEN = "broken";

  @Override
  public String declarationTable() {
    return "declarations";
  }

  @Override
  public String declarationKey() {
    return "current";
  }

  @Override
  public Optional<String> closedDomain(String key) {
    return key.startsWith(CLOSED) ? Optional.of(key.substring(CLOSED.length())) : Optional.empty();
  }

  @Override
  public String workerTable() {
    return WORKERS;
  }

  @Override
  public Optional<JobDeclaration> declaration(Row row) {
    String text = new String(row.value(), java.nio.charset.StandardCharsets.UTF_8);
    return text.isEmpty()
        ? Optional.empty()
        : Optional.of(new JobDeclaration(Long.parseLong(text), List.of(), Map.of(), List.of(), 0));
  }

  @Override
  public Optional<WorkerEntry> worker(Row row) {
    if (new String(row.value(), java.nio.charset.StandardCharsets.UTF_8).equals(BROKEN)) {
      throw new IllegalStateException("an entry that cannot be read");
    }
    return Optional.of(
        new WorkerEntry(
            row.key(), "s", "10.0.0.1:80", "z", "r", Set.of(), new Resources(8, 8, 8), 1, false));
  }
}
