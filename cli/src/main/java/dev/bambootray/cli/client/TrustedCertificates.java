package dev.bambootray.cli.client;

import io.vavr.control.Either;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** Reads the certificates that nodes are checked against. */
public final class TrustedCertificates {
  private TrustedCertificates() {}

  /** Returns a context that trusts the PEM certificates of a file, or why it can't be read. */
  public static Either<String, SSLContext> load(Path file) {
    try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
      KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
      store.load(null, null);
      for (Certificate certificate :
          CertificateFactory.getInstance("X.509").generateCertificates(in)) {
        store.setCertificateEntry("trusted-" + store.size(), certificate);
      }
      if (store.size() == 0) {
        return Either.left(file + ": found no certificate, expected PEM certificates");
      }
      TrustManagerFactory trust =
          TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
      trust.init(store);
      SSLContext context = SSLContext.getInstance("TLS");
      context.init(null, trust.getTrustManagers(), null);
      return Either.right(context);
    } catch (IOException | GeneralSecurityException e) {
      return Either.left(file + ": certificates can't be read: " + e.getMessage());
    }
  }
}
