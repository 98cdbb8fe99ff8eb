package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.model.JobRecord;
import dev.bambootray.jobs.model.JobSpec;
import dev.bambootray.jobs.scheduling.JobEvent;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.jobs.worker.WorkerEntry;
import dev.bambootray.ports.PlatformDocumentReader;
import dev.bambootray.ports.RowStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Loads the state of the pool for a new owner, and then delivers changes of the worker registry and
 * of the accepted jobs as events.
 */
final class PoolLoader {
  /** The rows of one job: the job itself and its cancellation mark. */
  private static final int ROWS_OF_A_JOB = 2;

  private final RowStore store;
  private final ScheduledExecutorService executor;
  private final PlatformDocumentReader documents;
  private final JobRowCodec codec;
  private final DecisionLog log;
  private final StoreFormats formats;
  private final UnreadableRows unreadableRows;
  private volatile @Nullable Session session;

  PoolLoader(
      RowStore store,
      ScheduledExecutorService executor,
      PlatformDocumentReader documents,
      JobRowCodec codec,
      DecisionLog log,
      StoreFormats formats) {
    this.store = store;
    this.executor = executor;
    this.documents = documents;
    this.codec = codec;
    this.log = log;
    this.formats = formats;
    unreadableRows = new UnreadableRows(store, executor, codec, log, formats);
  }

  void start(Consumer<JobEvent> events, Supplier<Optional<JobDeclaration>> declaration) {
    stop();
    Session started = new Session(events, declaration);
    session = started;
    started.start();
  }

  /** Reads the rows of a job and delivers them as events, if a session is running. */
  void lookUp(String job) {
    Session running = session;
    if (running != null) {
      running.lookUp(job);
    }
  }

  void stop() {
    Session running = session;
    if (running != null) {
      running.stop();
    }
    session = null;
  }

  /** Loads and follows the tables during one ownership; used on the event loop only. */
  private final class Session {
    private final Consumer<JobEvent> events;
    private final Supplier<Optional<JobDeclaration>> declaration;
    private final TableFollower jobs;
    private final TableFollower records;
    private final TableFollower workers;
    private final Set<String> listed = new HashSet<>();

    /** Entries that name no usable worker and are in the log, which repeats none of them. */
    private final Set<String> unusable = new HashSet<>();

    /** Jobs whose progress is unknown, so that starting them could repeat finished work. */
    private final Set<String> unreadable = new HashSet<>();

    private @Nullable Map<String, Row> jobRows;
    private @Nullable List<Row> recordRows;
    private @Nullable Map<String, Row> workerRows;
    private boolean tookOver;

    Session(Consumer<JobEvent> events, Supplier<Optional<JobDeclaration>> declaration) {
      this.events = events;
      this.declaration = declaration;
      jobs = follower(JobTables.JOBS, this::jobContent, this::jobChanges);
      records = follower(JobTables.RECORDS, this::recordContent, rows -> {});
      workers = follower(documents.workerTable(), this::workerContent, this::workerChanges);
    }

    void start() {
      jobs.start();
      records.start();
      workers.start();
    }

    void stop() {
      jobs.stop();
      records.stop();
      workers.stop();
    }

    void lookUp(String job) {
      lookUp(formats.jobs(), job);
      lookUp(formats.otherJobs(), job);
    }

    private void lookUp(String table, String job) {
      var unused =
          store
              .read(table, job, JobTables.endOfJobRows(job), ROWS_OF_A_JOB)
              .thenAcceptAsync(
                  result ->
                      result
                          .peek(page -> jobChanges(page.rows()))
                          .peekLeft(
                              error -> log.line("store:", job, "not readable " + error.message())),
                  executor);
    }

    private TableFollower follower(
        String table, Consumer<List<Row>> content, Consumer<List<Row>> changes) {
      return new TableFollower(
          store,
          executor,
          table,
          new TableFollower.Listener() {
            @Override
            public void onContent(List<Row> rows) {
              content.accept(rows);
            }

            @Override
            public void onChanges(List<Row> rows) {
              changes.accept(rows);
            }

            @Override
            public void onReachable(boolean reachable, String detail) {
              log.line("store:", table, reachable ? "regained" : "lost " + detail);
            }

            @Override
            public void onFault(RuntimeException fault) {
              log.failure("store:", table, "rows were not handled", fault);
            }
          });
    }

    private void jobContent(List<Row> rows) {
      if (tookOver) {
        jobChanges(rows);
        return;
      }
      formats.clearJobs();
      rows.forEach(formats::noteJobRow);
      jobRows = byKey(rows);
      takeOver();
    }

    private void recordContent(List<Row> rows) {
      // Only the owner writes records, so one read is enough.
      records.stop();
      recordRows = rows;
      takeOver();
    }

    private void workerContent(List<Row> rows) {
      if (!tookOver) {
        workerRows = byKey(rows);
        takeOver();
        return;
      }
      Set<String> found = new HashSet<>();
      for (Row row : rows) {
        found.add(row.key());
        onWorker(row);
      }
      for (String id : List.copyOf(listed)) {
        if (!found.contains(id)) {
          unlist(id);
        }
      }
      unusable.retainAll(found);
    }

    private void takeOver() {
      Map<String, Row> jobsRead = jobRows;
      List<Row> recordsRead = recordRows;
      Map<String, Row> workersRead = workerRows;
      if (jobsRead == null || recordsRead == null || workersRead == null || tookOver) {
        return;
      }
      Map<String, JobRecord> kept = new HashMap<>();
      recordsRead.forEach(
          row ->
              codec
                  .decodeRecord(row.value())
                  .peek(saved -> kept.put(saved.job(), saved))
                  .peekLeft(
                      error -> {
                        unreadable.add(row.key());
                        unreadableRows.add(row, error);
                      }));
      List<JobSpec> accepted = new ArrayList<>();
      Set<String> cancelled = new HashSet<>();
      // Rows are dropped as they are decoded, since they take as much memory as the jobs.
      for (Iterator<Row> rows = jobsRead.values().iterator(); rows.hasNext(); rows.remove()) {
        Row row = rows.next();
        if (JobTables.isCancelKey(row.key())) {
          cancelled.add(JobTables.jobOfCancelKey(row.key()));
        } else {
          // The record of a job that exists must not count as left over from a removed one.
          job(row).ifPresentOrElse(accepted::add, () -> kept.remove(row.key()));
        }
      }
      List<WorkerEntry> entries = new ArrayList<>();
      for (Row row : workersRead.values()) {
        worker(row)
            .ifPresent(
                entry -> {
                  listed.add(entry.id());
                  entries.add(entry);
                });
      }
      jobRows = null;
      recordRows = null;
      workerRows = null;
      Optional<JobDeclaration> inForce = declaration.get();
      tookOver = true;
      events.accept(
          new JobEvent.TookOver(
              inForce.orElse(new JobDeclaration(0, List.of(), Map.of(), List.of(), 0)),
              accepted,
              kept,
              cancelled,
              entries));
    }

    private void jobChanges(List<Row> rows) {
      rows.stream().filter(row -> !row.removed()).forEach(formats::noteJobRow);
      if (!tookOver) {
        merge(jobRows, rows);
        return;
      }
      for (Row row : rows) {
        if (row.removed()) {
          continue;
        }
        if (JobTables.isCancelKey(row.key())) {
          events.accept(new JobEvent.CancelRequested(JobTables.jobOfCancelKey(row.key())));
        } else {
          job(row).ifPresent(spec -> events.accept(new JobEvent.Accepted(spec)));
        }
      }
    }

    private void workerChanges(List<Row> rows) {
      if (tookOver) {
        rows.forEach(this::onWorker);
      } else {
        merge(workerRows, rows);
      }
    }

    /** Returns the rows by key; a job with rows in both formats is one job. */
    private static Map<String, Row> byKey(List<Row> rows) {
      Map<String, Row> byKey = new LinkedHashMap<>();
      rows.forEach(row -> byKey.put(row.key(), row));
      return byKey;
    }

    /** Applies changes that arrive while other tables are still being read. */
    private static void merge(@Nullable Map<String, Row> known, List<Row> changes) {
      if (known == null) {
        return; // The table is being read in full, which will include the changes.
      }
      for (Row row : changes) {
        if (row.removed()) {
          known.remove(row.key());
        } else {
          known.put(row.key(), row);
        }
      }
    }

    private void onWorker(Row row) {
      Optional<WorkerEntry> entry = worker(row);
      if (entry.isEmpty()) {
        unlist(row.key());
        return;
      }
      listed.add(row.key());
      events.accept(new JobEvent.WorkerListed(entry.get()));
    }

    /** Decodes a worker entry; one that was removed or names no usable worker is empty. */
    private Optional<WorkerEntry> worker(Row row) {
      if (row.removed()) {
        unusable.remove(row.key());
        return Optional.empty();
      }
      Optional<WorkerEntry> entry = decodeWorker(row);
      if (entry.isPresent()) {
        unusable.remove(row.key());
      } else if (unusable.add(row.key())) {
        log.line(
            "worker:", row.key(), "entry describes no usable worker bytes=" + row.value().length);
      }
      return entry;
    }

    private Optional<WorkerEntry> decodeWorker(Row row) {
      try {
        return documents.worker(row);
      } catch (RuntimeException e) {
        if (!unusable.contains(row.key())) {
          log.failure("worker:", row.key(), "entry cannot be read", e);
        }
        return Optional.empty();
      }
    }

    private void unlist(String id) {
      if (listed.remove(id)) {
        events.accept(new JobEvent.WorkerUnlisted(id));
      }
    }

    private Optional<JobSpec> job(Row row) {
      if (unreadable.contains(row.key())) {
        return Optional.empty();
      }
      return codec
          .decodeJob(row.value())
          .peekLeft(error -> unreadableRows.add(row, error))
          .toJavaOptional();
    }
  }
}
