package dev.bambootray.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against stand-ins that do not show the faults that tests of the system rely on. */
@Timeout(60)
final class StandInFaultsTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final StandInPlatform platform = StandInPlatform.start(group, 5);
  private final StandInWorker worker =
      StandInWorker.start(
          StandInWorker.Spec.standard("w", "north"), group, group, RunLedger.create(), 6);

  @AfterEach
  void stop() {
    platform.close();
    worker.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void connectionsBeyondTheLimitAreClosedAndCounted() throws IOException {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 70; i++) {
        sockets.add(new Socket(InetAddress.getLoopbackAddress(), worker.server().port()));
      }
      while (worker.counters().path("refusedConnections").asInt() < 6) {
        Thread.onSpinWait();
      }
      assertEquals(64, worker.counters().path("peakConnections").asInt());
      assertEquals(64, worker.counters().path("openConnections").asInt());
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  @Test
  void theControlEndpointSetsFaultsAndReturnsCounters() throws Exception {
    String commit =
        "{\"token\":\"t\",\"writes\":[{\"key\":\"a\",\"value\":\"1\",\"expectedVersion\":0}]}";
    control(platform.server().port(), "{\"lostAnswerShare\":1}");
    assertThrows(IOException.class, () -> post("/table/commit", commit));
    assertEquals("1", platform.rowValue("a"));
    control(platform.server().port(), "{\"lostAnswerShare\":0,\"away\":true}");
    assertThrows(IOException.class, () -> post("/table/commit", commit.replace("t\"", "u\"")));
    control(platform.server().port(), "{\"away\":false}");
    assertEquals("{\"versions\":[1]}", post("/table/commit", commit).body());
    assertEquals(1, control(platform.server().port(), "{}").path("commits").asInt());
    control(worker.server().port(), "{\"leave\":true}");
    assertEquals(0, control(worker.server().port(), "{}").path("peakSlots").asInt());
  }

  @Test
  void aPausedServerAnswersOnceItResumes() throws Exception {
    platform.server().setPaused(true);
    CompletableFuture<HttpResponse<String>> waiting =
        client.sendAsync(request("/vms", ""), HttpResponse.BodyHandlers.ofString());
    // The control endpoint answers during a pause, so the pause is in effect.
    control(platform.server().port(), "{}");
    assertFalse(waiting.isDone());
    control(platform.server().port(), "{\"paused\":false}");
    assertEquals("{\"vms\":[]}", waiting.get().body());
  }

  private JsonNode control(int port, String change) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/control"))
            .POST(HttpRequest.BodyPublishers.ofString(change))
            .build();
    return HttpCall.parse(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
  }

  private HttpResponse<String> post(String path, String body) throws Exception {
    return client.send(request(path, body), HttpResponse.BodyHandlers.ofString());
  }

  private HttpRequest request(String path, String body) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + platform.server().port() + path))
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }
}
