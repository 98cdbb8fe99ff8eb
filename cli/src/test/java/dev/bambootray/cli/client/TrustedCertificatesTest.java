package dev.bambootray.cli.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpsConfigurator;
import com.sun.net.httpserver.HttpsServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a token that is sent to a node without a trusted certificate. */
final class TrustedCertificatesTest {
  private static final char[] PASSWORD = "test-only".toCharArray();
  private static final Path CERTIFICATE =
      Path.of("src/test/resources/dev/bambootray/cli/client/test-node.pem");

  private static SSLContext serverContext() throws GeneralSecurityException, IOException {
    KeyStore store = KeyStore.getInstance("PKCS12");
    try (InputStream in = TrustedCertificatesTest.class.getResourceAsStream("test-node.p12")) {
      store.load(in, PASSWORD);
    }
    KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
    keys.init(store, PASSWORD);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(keys.getKeyManagers(), null, null);
    return context;
  }

  @Test
  void areTheOnlyOnesThatAreTrusted() throws GeneralSecurityException, IOException {
    InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    HttpsServer server = HttpsServer.create(loopback, 0);
    server.setHttpsConfigurator(new HttpsConfigurator(serverContext()));
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(204, -1);
          exchange.close();
        });
    server.start();
    try {
      String node = "https://127.0.0.1:" + server.getAddress().getPort();
      HttpNodeClient trusting = HttpNodeClient.create(TrustedCertificates.load(CERTIFICATE).get());
      assertEquals(204, trusting.call(node, "t", NodeCall.get("/")).get().status());
      String error = HttpNodeClient.create(null).call(node, "t", NodeCall.get("/")).getLeft();
      assertTrue(error.startsWith("connection lost: "), error);
    } finally {
      server.stop(0);
    }
  }

  @Test
  void giveOneLineIfThereAreNone(@TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("ca.pem"), "none");
    assertTrue(TrustedCertificates.load(file).getLeft().contains("ca.pem: "));
    assertTrue(
        TrustedCertificates.load(directory.resolve("no.pem")).getLeft().contains("can't be read"));
  }
}
