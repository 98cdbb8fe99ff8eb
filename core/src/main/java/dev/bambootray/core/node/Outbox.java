package dev.bambootray.core.node;

import dev.bambootray.core.declaration.WorkerDeclaration;
import dev.bambootray.core.ledger.RequestRecord;
import dev.bambootray.core.model.RequestError;
import dev.bambootray.core.store.CommitResult;
import dev.bambootray.core.store.RowPage;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.core.store.StoredRow;
import dev.bambootray.core.store.TableTransaction;
import dev.bambootray.core.worker.WorkerCommand;
import dev.bambootray.core.worker.WorkerReply;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Collects the effects of one event and keeps the continuations of calls in progress. */
final class Outbox {
  private final Map<Long, Consumer<Either<StoreError, CommitResult>>> commits = new HashMap<>();
  private final Map<Long, Consumer<Either<StoreError, StoredRow>>> reads = new HashMap<>();
  private final Map<Long, Consumer<Either<StoreError, RowPage>>> scans = new HashMap<>();
  private final Map<Long, Consumer<Either<StoreError, Boolean>>> puts = new HashMap<>();
  private final Map<Long, Consumer<Either<StoreError, Map<String, Boolean>>>> lists =
      new HashMap<>();
  private final Map<Long, Consumer<WorkerReply>> workerCalls = new HashMap<>();

  private List<NodeEffect> effects = new ArrayList<>();
  private long lastId;

  /** Returns the effects collected since the last call. */
  List<NodeEffect> drain() {
    List<NodeEffect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }

  void add(NodeEffect effect) {
    effects.add(effect);
  }

  void commit(
      TableTransaction transaction, Consumer<Either<StoreError, CommitResult>> continuation) {
    long id = ++lastId;
    commits.put(id, continuation);
    add(new NodeEffect.Commit(id, transaction));
  }

  void readRow(String key, Consumer<Either<StoreError, StoredRow>> continuation) {
    long id = ++lastId;
    reads.put(id, continuation);
    add(new NodeEffect.ReadRow(id, key));
  }

  void scanRows(
      String prefix,
      @Nullable String afterKey,
      int limit,
      Consumer<Either<StoreError, RowPage>> continuation) {
    long id = ++lastId;
    scans.put(id, continuation);
    add(new NodeEffect.ScanRows(id, prefix, afterKey, limit));
  }

  void putObject(String name, String content, Consumer<Either<StoreError, Boolean>> continuation) {
    long id = ++lastId;
    puts.put(id, continuation);
    add(new NodeEffect.PutObject(id, name, content));
  }

  void listVms(Consumer<Either<StoreError, Map<String, Boolean>>> continuation) {
    long id = ++lastId;
    lists.put(id, continuation);
    add(new NodeEffect.ListVms(id));
  }

  void callWorker(
      WorkerDeclaration worker,
      WorkerCommand command,
      long timeoutMs,
      Consumer<WorkerReply> continuation) {
    long id = ++lastId;
    workerCalls.put(id, continuation);
    add(new NodeEffect.SendWorker(id, worker, command, timeoutMs));
  }

  void reply(long ticket, RequestRecord content, boolean durable) {
    add(new NodeEffect.ReplyToCaller(ticket, Either.right(content), durable));
  }

  void refuse(long ticket, RequestError error) {
    add(new NodeEffect.ReplyToCaller(ticket, Either.left(error), false));
  }

  void report(String part, String kind, Object subject, String detail) {
    add(new NodeEffect.Report(part, kind, subject.toString(), detail));
  }

  /** Runs the continuation of a call that ended; further outcomes of the same call are ignored. */
  void complete(NodeEvent event) {
    if (event instanceof NodeEvent.CommitEnded ended) {
      accept(commits.remove(ended.id()), ended.outcome());
    } else if (event instanceof NodeEvent.RowRead read) {
      accept(reads.remove(read.id()), read.outcome());
    } else if (event instanceof NodeEvent.RowsScanned scanned) {
      accept(scans.remove(scanned.id()), scanned.outcome());
    } else if (event instanceof NodeEvent.ObjectPut put) {
      accept(puts.remove(put.id()), put.outcome());
    } else if (event instanceof NodeEvent.VmsListed listed) {
      accept(lists.remove(listed.id()), listed.outcome());
    } else if (event instanceof NodeEvent.WorkerReplied replied) {
      accept(workerCalls.remove(replied.id()), replied.reply());
    }
  }

  private static <T> void accept(@Nullable Consumer<T> continuation, T outcome) {
    if (continuation != null) {
      continuation.accept(outcome);
    }
  }
}
