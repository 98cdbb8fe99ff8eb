package dev.bambootray.ports;

import dev.bambootray.core.store.StoreError;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads the platform's list of VMs, which lags behind their actual state. */
public interface VmDirectory {

  /** Reads the list. */
  CompletableFuture<Either<StoreError, List<VmEntry>>> list();

  /**
   * A VM in the list.
   *
   * @param name name of the node or worker
   * @param host its IP address
   * @param leaving whether it is leaving
   */
  record VmEntry(String name, String host, boolean leaving) {}
}
