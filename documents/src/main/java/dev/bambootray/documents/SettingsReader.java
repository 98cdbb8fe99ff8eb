package dev.bambootray.documents;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.documents.json.JsonTreeReader;
import dev.bambootray.documents.json.JsonValue;
import dev.bambootray.documents.json.Names;
import dev.bambootray.documents.json.ObjectCursor;
import dev.bambootray.documents.json.Problems;
import io.vavr.control.Either;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Reads settings from text. */
final class SettingsReader {
  /** Settings are about 3 KiB; the bound keeps a wrong file from being read whole. */
  static final int MAX_BYTES = 256 * 1024;

  private static final long MAX_TIMEOUT_MS = 600_000;
  private static final double MAX_DELAY_MS = 10_000;
  private static final int MAX_SEEDS = 1_000;

  private SettingsReader() {}

  static Either<List<String>, Settings> read(String file, String text) {
    Problems problems = Problems.of(file);
    Optional<JsonValue> root = JsonTreeReader.read(text, MAX_BYTES, problems);
    if (root.isEmpty()) {
      return Either.left(problems.lines());
    }
    ObjectCursor document = ObjectCursor.of(root.get(), "", problems);
    String node = document.identifier("node");
    String region = document.identifier("region");
    String domain = document.identifier("failureDomain");
    HttpSettings http = readHttp(document.objectOrEmpty("http"));
    PeerSettings peer = readPeer(document.objectOrEmpty("peer"));
    PlatformSettings platform = readPlatform(document.object("platform"));
    List<HostPort> seeds = readSeeds(document);
    String tokenFile = document.text("operatorTokenFile");
    LimitSettings limits = readLimits(document.objectOrEmpty("limits"));
    TelemetrySettings telemetry = readTelemetry(document.objectOrEmpty("telemetry"));
    long graceMs = document.whole("shutdownGraceMs", 0, MAX_TIMEOUT_MS, 30_000);
    LogSettings log = readLog(document.objectOrEmpty("log"));
    LinkDelaySettings delay =
        document.optionalObject("linkDelay").map(SettingsReader::readDelay).orElse(null);
    document.finish();
    if (http.port() == peer.port() && http.host().equals(peer.host())) {
      document.reject("peer", "the address of http", "another host or port for other nodes");
    }
    if (!problems.isEmpty()) {
      return Either.left(problems.lines());
    }
    return Either.right(
        new Settings(
            NodeId.of(node),
            RegionId.of(region),
            FailureDomainId.of(domain),
            http,
            peer,
            platform,
            seeds,
            tokenFile,
            limits,
            telemetry,
            graceMs,
            log,
            delay));
  }

  private static HttpSettings readHttp(ObjectCursor http) {
    HttpSettings defaults = HttpSettings.defaults();
    HttpSettings read =
        new HttpSettings(
            ipOr(http, defaults.host()),
            portOr(http, "port", defaults.port()),
            http.optionalObject("tls").map(tls -> readTls(tls, false)).orElse(null));
    http.finish();
    return read;
  }

  private static PeerSettings readPeer(ObjectCursor peer) {
    PeerSettings defaults = PeerSettings.defaults();
    PeerSettings read =
        new PeerSettings(
            ipOr(peer, defaults.host()),
            portOr(peer, "port", defaults.port()),
            peer.optionalObject("tls").map(tls -> readTls(tls, true)).orElse(null));
    if (read.host().equals("0.0.0.0") || read.host().equals("::")) {
      peer.reject("host", read.host(), "an address under which other nodes reach this one");
    }
    peer.finish();
    return read;
  }

  private static TlsSettings readTls(ObjectCursor tls, boolean trustRequired) {
    @Nullable String trustFile =
        trustRequired ? tls.text("trustFile") : tls.optionalText("trustFile").orElse(null);
    TlsSettings read = new TlsSettings(tls.text("certificateFile"), tls.text("keyFile"), trustFile);
    tls.finish();
    return read;
  }

  private static PlatformSettings readPlatform(ObjectCursor platform) {
    PlatformSettings read =
        new PlatformSettings(
            host(platform, "tableHost"),
            platform.port("tablePort"),
            host(platform, "objectHost"),
            platform.port("objectPort"),
            host(platform, "vmListHost"),
            platform.port("vmListPort"),
            platform.whole(
                "timeoutMs", 1, MAX_TIMEOUT_MS, PlatformSettings.defaults().timeoutMs()));
    platform.finish();
    return read;
  }

  private static List<HostPort> readSeeds(ObjectCursor document) {
    List<HostPort> seeds = new ArrayList<>();
    List<String> texts = document.texts("seeds");
    if (texts.size() > MAX_SEEDS) {
      document.reject("seeds", texts.size() + " seeds", "at most " + MAX_SEEDS);
    }
    for (String text : texts) {
      Optional<HostPort> seed = Addresses.hostPort(text);
      if (seed.isEmpty()) {
        document.reject("seeds", "\"" + Names.abbreviate(text) + "\"", "host:port of a node");
      }
      seed.ifPresent(seeds::add);
    }
    return seeds;
  }

  private static LimitSettings readLimits(ObjectCursor limits) {
    LimitSettings defaults = LimitSettings.defaults();
    LimitSettings read =
        new LimitSettings(
            (int) limits.whole("maxOpenRequests", 1, 1_000_000, defaults.maxOpenRequests()),
            (int) limits.whole("maxBodyBytes", 1_024, 8 << 20, defaults.maxBodyBytes()),
            (int) limits.whole("heldRequests", 0, 1_000, defaults.heldRequests()),
            limits.whole("heldBytes", 0, 16L << 20, defaults.heldBytes()));
    limits.finish();
    return read;
  }

  private static TelemetrySettings readTelemetry(ObjectCursor telemetry) {
    Optional<String> endpoint = telemetry.optionalText("otlpEndpoint");
    endpoint
        .filter(text -> !isHttpUrl(text))
        .ifPresent(text -> telemetry.reject("otlpEndpoint", "another text", "an HTTP URL"));
    double ratio =
        telemetry.number("samplingRatio", 0, 1, TelemetrySettings.defaults().samplingRatio());
    telemetry.finish();
    return new TelemetrySettings(endpoint.orElse(null), ratio);
  }

  private static boolean isHttpUrl(String text) {
    try {
      URI uri = new URI(text);
      return ("http".equals(uri.getScheme()) || "https".equals(uri.getScheme()))
          && uri.getHost() != null;
    } catch (URISyntaxException e) {
      return false;
    }
  }

  private static LogSettings readLog(ObjectCursor log) {
    LogSettings read =
        new LogSettings(
            log.choice("level", LogSettings.Level.values(), LogSettings.defaults().level()));
    log.finish();
    return read;
  }

  private static LinkDelaySettings readDelay(ObjectCursor delay) {
    LinkDelaySettings read =
        new LinkDelaySettings(
            delay.number("betweenRegionsMs", 0, MAX_DELAY_MS, 0),
            delay.number("betweenFailureDomainsMs", 0, MAX_DELAY_MS, 0),
            delay.number("toClientsMs", 0, MAX_DELAY_MS, 0));
    delay.finish();
    return read;
  }

  private static String ipOr(ObjectCursor object, String orElse) {
    return object.has("host") ? Addresses.ip(object, "host") : orElse;
  }

  private static int portOr(ObjectCursor object, String key, int orElse) {
    return object.has(key) ? object.port(key) : orElse;
  }

  private static String host(ObjectCursor object, String key) {
    String host = object.text(key);
    if (!host.isEmpty() && !Addresses.isHost(host)) {
      object.reject(key, "\"" + Names.abbreviate(host) + "\"", "an IP address or a host name");
    }
    return host;
  }
}
