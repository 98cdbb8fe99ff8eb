package dev.bambootray.adapters.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.RequestStep;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.sdk.testing.exporter.InMemorySpanExporter;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against traces that break between hops or reveal what a request carries. */
final class TracingTest {
  private static final String CALLER = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-";

  // It forgets its spans when its tracer is closed, so tracers stay open until the test has read.
  private final InMemorySpanExporter exported = InMemorySpanExporter.create();

  @Test
  void hopsOfARequestFormOneTrace() {
    Tracing entry = tracing(0);
    Tracing owner = tracing(0);
    Hop submit = entry.receive("submit", CALLER + "01");
    Hop forward = entry.call("forward", submit.traceparent());
    Hop place = owner.receive("place", forward.traceparent());
    place.end();
    forward.end();
    submit.end();
    List<SpanData> spans = exported.getFinishedSpanItems();
    assertEquals(List.of("place", "forward", "submit"), names(spans));
    assertEquals(spans.get(1).getSpanId(), spans.get(0).getParentSpanId());
    assertEquals(spans.get(2).getSpanId(), spans.get(1).getParentSpanId());
    assertEquals("b7ad6b7169203331", spans.get(2).getParentSpanId());
    assertTrue(CALLER.contains(spans.get(0).getTraceId()));
  }

  @Test
  void aTraceThatTheCallerDoesNotSampleIsPassedOnUnsampled() {
    Tracing tracing = tracing(1);
    Hop hop = tracing.receive("submit", CALLER + "00");
    assertTrue(hop.traceparent().startsWith(CALLER.substring(0, 36)));
    assertTrue(hop.traceparent().endsWith("-00"));
    hop.end();
    assertEquals(List.of(), exported.getFinishedSpanItems());
  }

  @Test
  void malformedContextsBeginATraceOfTheirOwn() {
    Tracing tracing = tracing(1);
    for (String wrong : List.of("", "x", CALLER, "00-" + "0".repeat(32) + "-" + "0".repeat(16))) {
      Hop hop = tracing.receive("submit", wrong);
      assertFalse(hop.traceparent().contains("0af7651916cd43dd8448eb211c80319c"));
      hop.end();
    }
    assertEquals(4, exported.getFinishedSpanItems().size());
  }

  @Test
  void withoutAnEndpointNothingIsExportedButContextsArePassedOn() {
    try (Tracing tracing = Tracing.create(new TracingSettings("n1", 1, null))) {
      Hop hop = tracing.receive("submit", CALLER + "01");
      assertTrue(hop.traceparent().startsWith(CALLER.substring(0, 36)));
      hop.end();
    }
  }

  @Test
  void secretsDoNotReachSpans() {
    Redaction.register("operator-secret-1");
    Tracing tracing = tracing(1);
    Hop hop = tracing.receive("submit", "").with(SpanAttribute.WORKER, "operator-secret-1");
    hop.fail(RequestStep.RUN, "Bearer abcdef123");
    SpanData span = exported.getFinishedSpanItems().get(0);
    assertEquals(StatusCode.ERROR, span.getStatus().getStatusCode());
    assertFalse(span.toString().contains("operator-secret-1"));
    assertFalse(span.toString().contains("abcdef123"));
  }

  private Tracing tracing(double share) {
    return Tracing.withProcessor(
        new TracingSettings("n1", share, null), SimpleSpanProcessor.create(exported));
  }

  private static List<String> names(List<SpanData> spans) {
    return spans.stream().map(SpanData::getName).toList();
  }
}
