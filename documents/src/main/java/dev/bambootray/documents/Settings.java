package dev.bambootray.documents;

import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of one node.
 *
 * <p>The format is described in {@code docs/reference/settings.md}.
 *
 * @param node the node
 * @param region its region
 * @param failureDomain its failure domain
 * @param http where it listens for callers and operators
 * @param peer where it listens for other nodes
 * @param platform where the platform listens
 * @param seeds peer addresses of other nodes to begin with; the VM list and the table add to them
 * @param operatorTokenFile file that holds the operator token
 * @param limits bounds on what it holds
 * @param telemetry export of traces
 * @param shutdownGraceMs longest graceful shutdown, in milliseconds
 * @param log the log
 * @param linkDelay added delays, or null for none
 */
public record Settings(
    NodeId node,
    RegionId region,
    FailureDomainId failureDomain,
    HttpSettings http,
    PeerSettings peer,
    PlatformSettings platform,
    List<HostPort> seeds,
    String operatorTokenFile,
    LimitSettings limits,
    TelemetrySettings telemetry,
    long shutdownGraceMs,
    LogSettings log,
    @Nullable LinkDelaySettings linkDelay) {
  private static final String DEFAULT_RESOURCE = "default-settings.json";

  /** Copies the seeds. */
  public Settings {
    seeds = List.copyOf(seeds);
  }

  /** Returns a builder that holds the defaults for a node. */
  public static Builder builder(NodeId node, RegionId region, FailureDomainId failureDomain) {
    return new Builder(node, region, failureDomain);
  }

  /** Returns a builder that holds these settings. */
  public Builder toBuilder() {
    return new Builder(node, region, failureDomain)
        .http(http)
        .peer(peer)
        .platform(platform)
        .seeds(seeds)
        .operatorTokenFile(operatorTokenFile)
        .limits(limits)
        .telemetry(telemetry)
        .shutdownGraceMs(shutdownGraceMs)
        .log(log)
        .linkDelay(linkDelay);
  }

  /** Reads settings; the left side has one line for each error and names the given file. */
  public static Either<List<String>, Settings> parse(String file, String text) {
    return SettingsReader.read(file, text);
  }

  /**
   * Reads settings from a file and checks that the files named in them can be read. Relative names
   * of files are taken from the directory of the settings.
   */
  public static Either<List<String>, Settings> load(Path file) {
    return SettingsFiles.load(file);
  }

  /** Returns a commented text that parses to the defaults. */
  public static String defaultText() {
    try (InputStream in = Settings.class.getResourceAsStream(DEFAULT_RESOURCE)) {
      if (in == null) {
        throw new IllegalStateException("the resource " + DEFAULT_RESOURCE + " is missing");
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Builds settings from defaults. */
  public static final class Builder {
    private final NodeId node;
    private final RegionId region;
    private final FailureDomainId failureDomain;
    private HttpSettings http = HttpSettings.defaults();
    private PeerSettings peer = PeerSettings.defaults();
    private PlatformSettings platform = PlatformSettings.defaults();
    private List<HostPort> seeds = List.of();
    private String operatorTokenFile = "operator.token";
    private LimitSettings limits = LimitSettings.defaults();
    private TelemetrySettings telemetry = TelemetrySettings.defaults();
    private long shutdownGraceMs = 30_000;
    private LogSettings log = LogSettings.defaults();
    private @Nullable LinkDelaySettings linkDelay;

    private Builder(NodeId node, RegionId region, FailureDomainId failureDomain) {
      this.node = node;
      this.region = region;
      this.failureDomain = failureDomain;
    }

    /** Sets where the node listens for callers and operators. */
    public Builder http(HttpSettings value) {
      http = value;
      return this;
    }

    /** Sets where the node listens for other nodes. */
    public Builder peer(PeerSettings value) {
      peer = value;
      return this;
    }

    /** Sets where the platform listens. */
    public Builder platform(PlatformSettings value) {
      platform = value;
      return this;
    }

    /** Sets the peer addresses of other nodes to begin with. */
    public Builder seeds(List<HostPort> value) {
      seeds = value;
      return this;
    }

    /** Sets the file that holds the operator token. */
    public Builder operatorTokenFile(String value) {
      operatorTokenFile = value;
      return this;
    }

    /** Sets the bounds on what the node holds. */
    public Builder limits(LimitSettings value) {
      limits = value;
      return this;
    }

    /** Sets the export of traces. */
    public Builder telemetry(TelemetrySettings value) {
      telemetry = value;
      return this;
    }

    /** Sets the longest graceful shutdown in milliseconds. */
    public Builder shutdownGraceMs(long value) {
      shutdownGraceMs = value;
      return this;
    }

    /** Sets the log. */
    public Builder log(LogSettings value) {
      log = value;
      return this;
    }

    /** Sets added delays, or null for none. */
    public Builder linkDelay(@Nullable LinkDelaySettings value) {
      linkDelay = value;
      return this;
    }

    /** Returns the settings. */
    public Settings build() {
      return new Settings(
          node,
          region,
          failureDomain,
          http,
          peer,
          platform,
          seeds,
          operatorTokenFile,
          limits,
          telemetry,
          shutdownGraceMs,
          log,
          linkDelay);
    }
  }
}
