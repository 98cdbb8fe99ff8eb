package dev.bambootray.daemon.jobs;

import dev.bambootray.jobs.model.JobDeclaration;
import dev.bambootray.jobs.scheduling.EventTime;
import dev.bambootray.jobs.store.Row;
import dev.bambootray.ports.PlatformDocumentReader;
import dev.bambootray.ports.RowStore;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Follows the declaration that the operator publishes, together with the failure domains that are
 * closed, and notifies a listener of each change.
 *
 * <p>A version that is not newer than the current one is ignored.
 */
final class DeclarationFollower implements TableFollower.Listener {
  /** Receives what the follower finds out, on the event loop. */
  interface Listener {
    /** Handles a declaration that replaces the one before. */
    void onDeclaration(JobDeclaration declaration);

    /**
     * Handles that the last declaration was the newest one as of a time.
     *
     * @param asOfMs the time by {@link JobNode#now}
     * @param pauseCount value of {@link #pauseCount} that this holds for; a pause that was noticed
     *     later invalidates it
     */
    default void onConfirmed(long asOfMs, int pauseCount) {}
  }

  /**
   * Longest duration of a full read whose content counts for pauses during the read too. Such
   * content is no older than that of any read, which may take as long without a pause.
   */
  private static final long MAX_READ_MS = TableFollower.CALL_LIMIT_MS;

  /** Interval at which the event loop notes that it runs. */
  private static final long TICK_MS = 100;

  private final PlatformDocumentReader documents;
  private final DecisionLog log;
  private final Listener listener;
  private final ScheduledExecutorService executor;
  private final Supplier<EventTime> clock;
  private final TableFollower follower;
  private final PauseDetector pauseDetector;

  /** Detects pauses of the event loop, which receives the changes; used on the event loop only. */
  private final PauseDetector eventLoopPauseDetector;

  /** Whether the event loop was paused since the newest full read began. */
  private boolean eventLoopPaused;

  /** Newest time as of which all changes were received; used on the event loop only. */
  private long confirmedAsOfMs;

  private volatile @Nullable JobDeclaration newest;
  private volatile boolean reachable = true;

  /** The failure domains that are closed; used on the event loop only. */
  private final Set<String> closedDomains = new TreeSet<>();

  /** Number of pauses of the process; the declaration may have been replaced during each. */
  private final AtomicInteger pauses = new AtomicInteger();

  /** Number of pauses before the newest full read began; used on the event loop only. */
  private int pausesBeforeRead;

  private EventTime readStart;

  private volatile @Nullable ScheduledFuture<?> ticks;

  /** Number of pauses that the newest completed full read counts for. */
  private volatile int pausesBeforeContent;

  DeclarationFollower(
      RowStore store,
      ScheduledExecutorService executor,
      PlatformDocumentReader documents,
      DecisionLog log,
      Listener listener) {
    this(store, executor, documents, log, listener, JobNode::now);
  }

  DeclarationFollower(
      RowStore store,
      ScheduledExecutorService executor,
      PlatformDocumentReader documents,
      DecisionLog log,
      Listener listener,
      Supplier<EventTime> clock) {
    this.executor = executor;
    this.documents = documents;
    this.log = log;
    this.listener = listener;
    this.clock = clock;
    readStart = clock.get();
    pauseDetector = new PauseDetector(readStart);
    eventLoopPauseDetector = new PauseDetector(readStart);
    follower =
        new TableFollower(
            store, executor, documents.declarationTable(), this, () -> clock.get().ms());
  }

  void start() {
    follower.start();
    ticks =
        executor.scheduleAtFixedRate(
            () -> noteEventLoopPause(clock.get()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
  }

  void stop() {
    follower.stop();
    ScheduledFuture<?> started = ticks;
    if (started != null) {
      started.cancel(false);
    }
  }

  Optional<JobDeclaration> newest() {
    return Optional.ofNullable(newest);
  }

  /**
   * Returns the declaration that callers are authenticated against.
   *
   * <p>After a pause of the process it is empty until the table has been read again, because a key
   * may have been revoked during the pause. If only another thread than the event loop was paused,
   * it is empty until the event loop has confirmed that it received all changes.
   */
  Optional<JobDeclaration> inForce(EventTime now) {
    checkForPause(now);
    return isPossiblyStale() ? Optional.empty() : newest();
  }

  /** Returns whether the declaration may have been replaced during a pause of the process. */
  boolean isPossiblyStale(EventTime now) {
    checkForPause(now);
    return isPossiblyStale();
  }

  /** Returns how many pauses of the process were noticed. */
  int pauseCount() {
    return pauses.get();
  }

  private void checkForPause(EventTime now) {
    if (pauseDetector.pausedSinceLastCall(now)) {
      pauses.incrementAndGet();
      executor.execute(() -> onPauseNoticed(now));
    }
  }

  private void onPauseNoticed(EventTime noticed) {
    eventLoopPaused |= eventLoopPauseDetector.isPausedUntil(noticed);
    if (!confirmIfOnlyOtherThreadsPaused()) {
      log.line("config:", "-", "read again after a pause of the process");
      readAgainIfStale();
    }
  }

  private void noteEventLoopPause(EventTime now) {
    eventLoopPaused |= eventLoopPauseDetector.pausedSinceLastCall(now);
  }

  /**
   * Confirms the declaration once more if the event loop was not paused and so has received all
   * changes. A thread that was paused handles the changes first, because they were posted to it
   * before this confirmation.
   *
   * @return whether the declaration is in force
   */
  private boolean confirmIfOnlyOtherThreadsPaused() {
    int noticed = pauses.get();
    noteEventLoopPause(clock.get());
    if (eventLoopPaused || !reachable || newest == null || follower.isReadingInFull()) {
      return !isPossiblyStale();
    }
    if (isPossiblyStale()) {
      pausesBeforeContent = noticed;
      listener.onConfirmed(confirmedAsOfMs, noticed);
    }
    return true;
  }

  /**
   * Reads the table again, unless a read is under way: beginning it anew with each pause, none
   * would complete while pauses are more frequent than reads are fast.
   */
  private void readAgainIfStale() {
    if (isPossiblyStale() && !follower.isReadingInFull()) {
      follower.readAgain();
    }
  }

  @Override
  public void onReadStarted() {
    pausesBeforeRead = pauses.get();
    readStart = clock.get();
    noteEventLoopPause(readStart);
    eventLoopPaused = false;
  }

  /** Returns the number of pauses that the content of the read that has just completed is for. */
  private int pausesOfCompletedRead() {
    int noticed = pauses.get();
    EventTime now = clock.get();
    // After a suspension of the VM only the wall clock tells how old the content is.
    boolean isShort =
        now.ms() - readStart.ms() <= MAX_READ_MS
            && Math.abs(now.wallMs() - readStart.wallMs()) <= MAX_READ_MS;
    noteEventLoopPause(now);
    if (eventLoopPaused && !isShort) {
      return pausesBeforeRead;
    }
    eventLoopPaused = false;
    return noticed;
  }

  private boolean isPossiblyStale() {
    return pausesBeforeContent != pauses.get();
  }

  boolean isReachable() {
    return reachable;
  }

  @Override
  public void onContent(List<Row> rows) {
    closedDomains.clear();
    rows.forEach(row -> documents.closedDomain(row.key()).ifPresent(closedDomains::add));
    try {
      rows.forEach(this::acceptIfDeclaration);
    } finally {
      // An unreadable declaration leaves the current one in force; closed domains still apply.
      publish();
      pausesBeforeContent = pausesOfCompletedRead();
      readAgainIfStale();
    }
  }

  @Override
  public void onChanges(List<Row> rows) {
    for (Row row : rows) {
      documents
          .closedDomain(row.key())
          .ifPresent(
              domain -> {
                boolean unused =
                    row.removed() ? closedDomains.remove(domain) : closedDomains.add(domain);
              });
      acceptIfDeclaration(row);
    }
    publish();
  }

  @Override
  public void onConfirmed(long asOfMs) {
    confirmedAsOfMs = asOfMs;
    listener.onConfirmed(asOfMs, pausesBeforeContent);
  }

  @Override
  public void onReachable(boolean value, String detail) {
    reachable = value;
    log.line("store:", documents.declarationTable(), value ? "regained" : "lost " + detail);
  }

  @Override
  public void onFault(RuntimeException fault) {
    log.failure("config:", documents.declarationTable(), "rows were not handled", fault);
  }

  private void acceptIfDeclaration(Row row) {
    if (row.key().equals(documents.declarationKey()) && !row.removed()) {
      documents.declaration(row).ifPresent(this::accept);
    }
  }

  private void accept(JobDeclaration declaration) {
    JobDeclaration current = newest;
    if (current != null && declaration.version() <= current.version()) {
      return;
    }
    log.line(
        "config:",
        "-",
        "in force version="
            + declaration.version()
            + " templates="
            + declaration.templates().size()
            + " workspaces="
            + declaration.workspaces().size());
    setNewest(declaration.withClosedDomains(closedDomains));
  }

  /** Puts a change of the closed failure domains in force. */
  private void publish() {
    JobDeclaration current = newest;
    if (current != null && !current.closedDomains().equals(closedDomains)) {
      log.line("config:", "-", "closed failure domains " + closedDomains);
      setNewest(current.withClosedDomains(closedDomains));
    }
  }

  private void setNewest(JobDeclaration declaration) {
    newest = declaration;
    listener.onDeclaration(declaration);
  }
}
