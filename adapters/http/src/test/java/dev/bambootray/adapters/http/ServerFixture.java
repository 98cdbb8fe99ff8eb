package dev.bambootray.adapters.http;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import dev.bambootray.adapters.tls.ReloadableTls;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;

/** A server on loopback in front of a {@link RecordingApi}. */
final class ServerFixture implements AutoCloseable {
  final EventLoopGroup group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  final RecordingApi api = new RecordingApi();
  final HttpApiServer server;
  volatile String notReady = "";
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  ServerFixture(ReloadableTls tls) {
    server =
        HttpApiServer.start(
            group,
            "127.0.0.1",
            0,
            api,
            new NodeProbes(() -> "", () -> notReady, () -> "up 1\n"),
            HttpLimits.defaults(),
            tls);
  }

  HttpResponse<String> call(String method, String path, String token, String body)
      throws IOException, InterruptedException {
    return client.send(
        request(method, path, token, body).build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpRequest.Builder request(String method, String path, String token, String body) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
        .header("Authorization", "Bearer " + token)
        .method(method, HttpRequest.BodyPublishers.ofString(body));
  }

  Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), server.port());
  }

  /** Sends bytes on a connection of its own, ends the sending side and reads all that comes. */
  String exchange(byte[] bytes) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), ISO_8859_1);
    }
  }

  static String get(String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token1\r\n\r\n";
  }

  /** Reads one response with a Content-Length and returns its body. */
  static String readBody(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed after: " + head);
      }
      head.append((char) next);
    }
    String lower = head.toString().toLowerCase(java.util.Locale.ROOT);
    int at = lower.indexOf("content-length:") + "content-length:".length();
    int length = Integer.parseInt(lower.substring(at, lower.indexOf('\r', at)).strip());
    return new String(in.readNBytes(length), ISO_8859_1);
  }

  @Override
  public void close() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
