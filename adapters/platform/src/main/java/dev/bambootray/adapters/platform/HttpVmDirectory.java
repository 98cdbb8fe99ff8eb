package dev.bambootray.adapters.platform;

import com.fasterxml.jackson.databind.JsonNode;
import dev.bambootray.adapters.httpclient.HttpExchange.Request;
import dev.bambootray.core.store.StoreError;
import dev.bambootray.ports.VmDirectory;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's VM list over HTTP. */
final class HttpVmDirectory implements VmDirectory {
  private final PlatformCalls calls;

  HttpVmDirectory(PlatformCalls calls) {
    this.calls = calls;
  }

  @Override
  public CompletableFuture<Either<StoreError, List<VmEntry>>> list() {
    return calls
        .send(Request.get("/vms"))
        .thenApply(outcome -> calls.read("vms", outcome, false, HttpVmDirectory::entries));
  }

  private static List<VmEntry> entries(JsonNode json) {
    List<VmEntry> entries = new ArrayList<>();
    for (JsonNode vm : json.required("vms")) {
      entries.add(
          new VmEntry(
              vm.required("name").asText(),
              vm.required("host").asText(),
              vm.required("leaving").asBoolean()));
    }
    return entries;
  }
}
