package dev.bambootray.adapters.tls;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import javax.net.ssl.SSLException;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * TLS contexts of a node. A reload takes effect for connections that are opened after it; open
 * connections keep their keys. If the new files are wrong, the former keys stay in use.
 */
public final class ReloadableTls {
  private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

  private static final class Loaded {
    final SslContext server;
    final SslContext client;
    final byte[] digest;

    Loaded(SslContext server, SslContext client, byte[] digest) {
      this.server = server;
      this.client = client;
      this.digest = digest;
    }
  }

  private final TlsFiles files;
  private volatile Loaded loaded;

  private ReloadableTls(TlsFiles files, Loaded loaded) {
    this.files = files;
    this.loaded = loaded;
  }

  /** Loads the files. */
  public static Either<TlsError, ReloadableTls> load(TlsFiles files) {
    return read(files).map(first -> new ReloadableTls(files, first));
  }

  /**
   * Loads the files again if their content has changed.
   *
   * @return whether new keys are in use
   */
  public synchronized Either<TlsError, Boolean> reload() {
    Either<TlsError, Loaded> next = read(files);
    if (next.isLeft()) {
      Logger.error("config: the former keys stay in use: {}", next.getLeft().message());
      return Either.left(next.getLeft());
    }
    if (Arrays.equals(next.get().digest, loaded.digest)) {
      return Either.right(false);
    }
    loaded = next.get();
    Logger.info("config: new keys from {} are in use", files.certificateChain().getFileName());
    return Either.right(true);
  }

  /** Returns the current context for accepted connections. */
  public SslContext server() {
    return loaded.server;
  }

  /** Returns the current context for outgoing connections. */
  public SslContext client() {
    return loaded.client;
  }

  private static Either<TlsError, Loaded> read(TlsFiles files) {
    String peer = String.valueOf(files.certificateChain().getFileName());
    try {
      byte[] chain = Files.readAllBytes(files.certificateChain());
      byte[] key = Files.readAllBytes(files.privateKey());
      Path trustedFile = files.trusted();
      byte[] trusted = trustedFile == null ? null : Files.readAllBytes(trustedFile);
      if (!KeyPairCheck.matches(chain, key)) {
        return Either.left(
            new TlsError(
                "check", peer, "the private key does not match the certificate in " + peer));
      }
      return Either.right(
          new Loaded(
              serverContext(chain, key, trusted),
              clientContext(chain, key, trusted),
              digest(chain, key, trusted)));
    } catch (SSLException | GeneralSecurityException | IllegalArgumentException e) {
      return Either.left(
          new TlsError(
              "check", peer, "certificate chain or private key in " + peer + " is invalid"));
    } catch (IOException e) {
      return Either.left(new TlsError("read", peer, "cannot read " + e.getMessage()));
    }
  }

  private static SslContext serverContext(byte[] chain, byte[] key, byte @Nullable [] trusted)
      throws SSLException {
    SslContextBuilder builder = SslContextBuilder.forServer(stream(chain), stream(key));
    if (trusted != null) {
      builder.trustManager(stream(trusted)).clientAuth(ClientAuth.REQUIRE);
    }
    return builder.protocols(PROTOCOLS).build();
  }

  /**
   * Builds the context of connections to other nodes. Nodes are reached by IP address, and all
   * nodes with a certificate of the private authority are equally trusted, so the host name is not
   * verified.
   */
  private static SslContext clientContext(byte[] chain, byte[] key, byte @Nullable [] trusted)
      throws SSLException {
    SslContextBuilder builder =
        SslContextBuilder.forClient().keyManager(stream(chain), stream(key));
    if (trusted != null) {
      builder.trustManager(stream(trusted)).endpointIdentificationAlgorithm(null);
    }
    return builder.protocols(PROTOCOLS).build();
  }

  private static ByteArrayInputStream stream(byte[] bytes) {
    return new ByteArrayInputStream(bytes);
  }

  private static byte[] digest(byte[] chain, byte[] key, byte @Nullable [] trusted) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(chain);
      digest.update(key);
      if (trusted != null) {
        digest.update(trusted);
      }
      return digest.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
