package dev.bambootray.daemon;

import dev.bambootray.adapters.tls.ReloadableTls;
import dev.bambootray.adapters.tls.TlsFiles;
import dev.bambootray.documents.ExitCode;
import dev.bambootray.documents.Settings;
import dev.bambootray.documents.TlsSettings;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;

/** Holds the TLS keys of a node's HTTP and peer ports; null for a port without TLS. */
final class NodeTlsKeys {
  private final @Nullable ReloadableTls http;
  private final @Nullable ReloadableTls peer;

  private NodeTlsKeys(@Nullable ReloadableTls http, @Nullable ReloadableTls peer) {
    this.http = http;
    this.peer = peer;
  }

  /** Loads the keys that the settings name. */
  static Either<StartError, NodeTlsKeys> load(Settings settings) {
    return load("http", settings.http().tls())
        .flatMap(http -> load("peer", settings.peer().tls()).map(peer -> keys(http, peer)));
  }

  @Nullable ReloadableTls http() {
    return http;
  }

  @Nullable ReloadableTls peer() {
    return peer;
  }

  /** Reads the key files again; keys that cannot be read leave the previous ones in use. */
  void reload() {
    reload(http);
    reload(peer);
  }

  private static NodeTlsKeys keys(Loaded http, Loaded peer) {
    return new NodeTlsKeys(http.keys(), peer.keys());
  }

  private static Either<StartError, Loaded> load(String port, @Nullable TlsSettings tls) {
    if (tls == null) {
      return Either.right(new Loaded(null));
    }
    String trustFile = tls.trustFile();
    return ReloadableTls.load(
            new TlsFiles(
                Path.of(tls.certificateFile()),
                Path.of(tls.keyFile()),
                trustFile == null ? null : Path.of(trustFile)))
        .map(Loaded::new)
        .mapLeft(
            error ->
                new StartError(
                    ExitCode.INVALID_SETTINGS, "cannot load the keys of " + port + ": " + error));
  }

  private static void reload(@Nullable ReloadableTls keys) {
    if (keys != null) {
      var unused = keys.reload();
    }
  }

  /**
   * Keys of one port.
   *
   * @param keys the keys, or null for a port without TLS
   */
  private record Loaded(@Nullable ReloadableTls keys) {}
}
