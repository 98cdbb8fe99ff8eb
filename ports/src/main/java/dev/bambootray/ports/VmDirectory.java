package dev.bambootray.ports;

import dev.bambootray.core.store.StoreError;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's lagging list of VMs. */
public interface VmDirectory {

  /** Reads the list. */
  CompletableFuture<Either<StoreError, List<VmEntry>>> list();

  /**
   * A VM in the list.
   *
   * @param name name of the node or worker
   * @param host its IP number
   * @param leaving whether it is leaving
   */
  record VmEntry(String name, String host, boolean leaving) {}
}
