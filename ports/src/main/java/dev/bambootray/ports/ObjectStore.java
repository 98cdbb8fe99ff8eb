package dev.bambootray.ports;

import dev.bambootray.core.store.StoreError;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Reads and writes objects of the platform's object store. Futures complete on a traffic thread and
 * never exceptionally.
 */
public interface ObjectStore {

  /** Writes an object. */
  CompletableFuture<Either<StoreError, Boolean>> put(String name, byte[] content);

  /** Reads an object; empty if there is none. */
  CompletableFuture<Either<StoreError, Optional<byte[]>>> get(String name);
}
