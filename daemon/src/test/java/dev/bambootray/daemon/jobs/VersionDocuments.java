package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.worker.WorkerEntry;
import dev.bambootray.ports.PlatformDocuments;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Documents of tests: a row of declarations holds its version as text. */
final class VersionDocuments implements PlatformDocuments {
  @Override
  public String declarationTable() {
    return "declarations";
  }

  @Override
  public String declarationKey() {
    return "current";
  }

  @Override
  public String workerTable() {
    return "workers";
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
    return Optional.empty();
  }
}
