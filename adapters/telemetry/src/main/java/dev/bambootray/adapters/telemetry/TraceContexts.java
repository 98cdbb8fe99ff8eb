package dev.bambootray.adapters.telemetry;

import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Reads and writes W3C trace contexts as texts. */
final class TraceContexts {
  private static final String TRACEPARENT = "traceparent";

  private static final TextMapGetter<String> GETTER =
      new TextMapGetter<>() {
        @Override
        public @Nullable String get(@Nullable String traceparent, String key) {
          return key.equals(TRACEPARENT) ? traceparent : null;
        }
      };

  private TraceContexts() {}

  /** Returns the context that a traceparent names, or an empty one if it is empty or malformed. */
  static Context read(String traceparent) {
    return W3CTraceContextPropagator.getInstance().extract(Context.root(), traceparent, GETTER);
  }

  /** Returns the traceparent of a context, or an empty text if it has no span. */
  static String write(Context context) {
    Map<String, String> headers = new HashMap<>();
    W3CTraceContextPropagator.getInstance()
        .inject(context, headers, (carrier, name, value) -> headers.put(name, value));
    return headers.getOrDefault(TRACEPARENT, "");
  }
}
