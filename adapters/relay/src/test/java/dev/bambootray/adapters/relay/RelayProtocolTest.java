package dev.bambootray.adapters.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.adapters.relay.RelayProtocol.ChangesCall;
import dev.bambootray.adapters.relay.RelayProtocol.CommitCall;
import dev.bambootray.adapters.relay.RelayProtocol.ReadCall;
import dev.bambootray.adapters.relay.RelayProtocol.Reply;
import dev.bambootray.adapters.relay.RelayProtocol.Result;
import dev.bambootray.jobs.store.RowCondition;
import dev.bambootray.ports.JobHintSender.Hint;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that messages of other builds are read. The texts are what builds 7d370f0 and 7193ad2
 * write; both write the same.
 */
final class RelayProtocolTest {
  private static final String COMMIT =
      "{\"conditions\":[{\"table\":\"jobs\",\"key\":\"k\",\"version\":3}],"
          + "\"changes\":[{\"table\":\"jobs\",\"key\":\"k\",\"value\":\"aGk=\"},"
          + "{\"table\":\"jobs\",\"key\":\"old\",\"value\":null}],\"timeoutMs\":500}";
  private static final String READ =
      "{\"table\":\"jobs\",\"from\":\"\",\"to\":\"k\",\"limit\":500}";
  private static final String CHANGES = "{\"table\":\"jobs\",\"after\":7,\"waitMs\":1500}";
  private static final String HINT = "{\"job\":\"j\",\"cancelled\":true}";
  private static final String PAGE =
      "{\"result\":\"PAGE\",\"rows\":[{\"table\":\"jobs\",\"key\":\"k\",\"value\":\"aGk=\","
          + "\"version\":7,\"removed\":false}],\"more\":true,\"version\":12,\"detail\":\"\"}";
  private static final String COMMITTED =
      "{\"result\":\"COMMITTED\",\"rows\":[],\"more\":false,\"version\":9,\"detail\":\"\"}";

  private static <T> T read(String text, Class<T> type) {
    return RelayProtocol.read(text.getBytes(UTF_8), type).get();
  }

  private static <T> boolean isRejected(String text, Class<T> type) {
    return RelayProtocol.read(text.getBytes(UTF_8), type).isLeft();
  }

  private static String write(Object message) {
    return new String(RelayProtocol.write(message), UTF_8);
  }

  private static String withUnknownMember(String message) {
    return message.replace("{\"", "{\"unknown\":[1],\"");
  }

  @Test
  void readsCallsAsBefore() {
    for (String text : List.of(COMMIT, withUnknownMember(COMMIT))) {
      CommitCall call = read(text, CommitCall.class);
      assertEquals(List.of(new RowCondition("jobs", "k", 3)), call.conditions());
      assertArrayEquals("hi".getBytes(UTF_8), call.changes().get(0).value());
      assertEquals(null, call.changes().get(1).value());
      assertEquals(COMMIT, write(call));
    }
    for (String text : List.of(READ, withUnknownMember(READ))) {
      assertEquals(new ReadCall("jobs", "", "k", 500), read(text, ReadCall.class));
    }
    for (String text : List.of(CHANGES, withUnknownMember(CHANGES))) {
      assertEquals(new ChangesCall("jobs", 7, 1_500), read(text, ChangesCall.class));
    }
    for (String text : List.of(HINT, withUnknownMember(HINT))) {
      assertEquals(new Hint("j", true), read(text, Hint.class));
    }
  }

  @Test
  void writesCallsAsBefore() {
    assertEquals(READ, write(new ReadCall("jobs", "", "k", 500)));
    assertEquals(CHANGES, write(new ChangesCall("jobs", 7, 1_500)));
    assertEquals(HINT, write(new Hint("j", true)));
    assertEquals(COMMITTED, write(Reply.of(Result.COMMITTED, 9)));
  }

  @Test
  void readsRepliesAsBefore() {
    for (String text : List.of(PAGE, withUnknownMember(PAGE))) {
      Reply page = read(text, Reply.class);
      assertEquals(Result.PAGE, page.result());
      assertArrayEquals("hi".getBytes(UTF_8), page.rows().get(0).value());
      assertEquals(12, page.version());
      assertEquals(PAGE, write(page));
    }
    assertEquals(9, read(withUnknownMember(COMMITTED), Reply.class).version());
  }

  @Test
  void rejectsAReplyOfAnUnknownKind() {
    assertTrue(isRejected(COMMITTED.replace("COMMITTED", "QUEUED"), Reply.class));
  }

  @Test
  void rejectsMessagesWithoutARequiredMember() {
    assertTrue(isRejected(COMMIT.replace("conditions", "other"), CommitCall.class));
    assertTrue(isRejected(COMMIT.replace("changes", "other"), CommitCall.class));
    assertTrue(isRejected(READ.replace("from", "other"), ReadCall.class));
    assertTrue(isRejected(CHANGES.replace("table", "other"), ChangesCall.class));
    assertTrue(isRejected(HINT.replace("job", "other"), Hint.class));
    assertTrue(isRejected(PAGE.replace("rows", "other"), Reply.class));
  }
}
