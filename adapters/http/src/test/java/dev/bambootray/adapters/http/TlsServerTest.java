package dev.bambootray.adapters.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.bambootray.adapters.tls.ReloadableTls;
import dev.bambootray.adapters.tls.TlsFiles;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a server that needs a restart for new keys. */
@Timeout(60)
final class TlsServerTest {
  private static final Path KEYS = Path.of("../tls/src/test/resources");

  @TempDir Path directory;

  @Test
  void newConnectionsUseReloadedKeys() throws Exception {
    install("node-one");
    ReloadableTls tls =
        ReloadableTls.load(new TlsFiles(directory.resolve("pem"), directory.resolve("key"), null))
            .get();
    try (ServerFixture fixture = new ServerFixture(tls)) {
      assertEquals("CN=node-one", serverName(fixture));
      install("node-two");
      assertEquals(Either.right(true), tls.reload());
      assertEquals("CN=node-two", serverName(fixture));
    }
  }

  private void install(String node) throws IOException {
    Files.copy(
        KEYS.resolve(node + ".pem"), directory.resolve("pem"), StandardCopyOption.REPLACE_EXISTING);
    Files.copy(
        KEYS.resolve(node + ".key"), directory.resolve("key"), StandardCopyOption.REPLACE_EXISTING);
  }

  private static String serverName(ServerFixture fixture) throws Exception {
    try (SSLSocket socket =
        (SSLSocket)
            trusting().getSocketFactory().createSocket("127.0.0.1", fixture.server.port())) {
      socket.startHandshake();
      socket.getOutputStream().write(ServerFixture.get("/healthz").getBytes("US-ASCII"));
      assertEquals("ok\n", ServerFixture.readBody(socket.getInputStream()));
      Certificate certificate = socket.getSession().getPeerCertificates()[0];
      return ((X509Certificate) certificate).getSubjectX500Principal().getName();
    }
  }

  private static SSLContext trusting() throws Exception {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    try (var in = Files.newInputStream(KEYS.resolve("ca-one.pem"))) {
      store.setCertificateEntry(
          "ca", CertificateFactory.getInstance("X.509").generateCertificate(in));
    }
    TrustManagerFactory factory =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    factory.init(store);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, factory.getTrustManagers(), null);
    return context;
  }
}
