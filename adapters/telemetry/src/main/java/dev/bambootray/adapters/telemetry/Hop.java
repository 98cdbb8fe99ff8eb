package dev.bambootray.adapters.telemetry;

import dev.bambootray.core.model.RequestStep;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import java.util.Locale;

/** The span of one hop of a request. */
public final class Hop {
  private final Span span;

  Hop(Span span) {
    this.span = span;
  }

  /** Returns the W3C trace context to pass to the next hop. */
  public String traceparent() {
    return TraceContexts.write(Context.root().with(span));
  }

  /** Adds an attribute. */
  public Hop with(SpanAttribute attribute, String value) {
    span.setAttribute(attribute.key(), Redaction.redact(value));
    return this;
  }

  /** Ends the hop successfully. */
  public void end() {
    span.end();
  }

  /** Ends the hop with an error, which names its step and peer but carries no message. */
  public void fail(RequestStep step, String peer) {
    span.setAttribute("bambootray.peer", Redaction.redact(peer));
    span.setStatus(StatusCode.ERROR, step.name().toLowerCase(Locale.ROOT));
    span.end();
  }
}
