package dev.bambootray.adapters.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.exporter.otlp.trace.OtlpGrpcSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Records a span for each hop of a request and passes the trace context on. Thread-safe. */
public final class Tracing implements AutoCloseable {
  private static final long FLUSH_TIMEOUT_MS = 2_000;

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  private Tracing(TracingSettings settings, @Nullable SpanProcessor processor) {
    SdkTracerProviderBuilder builder =
        SdkTracerProvider.builder()
            .setResource(
                Resource.create(
                    Attributes.of(
                        AttributeKey.stringKey("service.name"),
                        "bambootray",
                        AttributeKey.stringKey("service.instance.id"),
                        settings.node())))
            .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.sampleShare())));
    if (processor != null) {
      builder.addSpanProcessor(processor);
    }
    provider = builder.build();
    tracer = provider.get("dev.bambootray");
  }

  /** Returns a tracer; it opens a connection only if an endpoint is set. */
  public static Tracing create(TracingSettings settings) {
    String endpoint = settings.otlpEndpoint();
    return new Tracing(
        settings,
        endpoint == null
            ? null
            : BatchSpanProcessor.builder(
                    OtlpGrpcSpanExporter.builder().setEndpoint(endpoint).build())
                .build());
  }

  /** Returns a tracer whose spans go to the given processor. */
  static Tracing withProcessor(TracingSettings settings, SpanProcessor processor) {
    return new Tracing(settings, processor);
  }

  /**
   * Begins the hop in which this node receives a request.
   *
   * @param name for example {@code submit}
   * @param traceparent trace context of the sender, or empty
   */
  public Hop receive(String name, String traceparent) {
    return begin(name, SpanKind.SERVER, traceparent);
  }

  /**
   * Begins the hop in which this node calls another node, a worker or the platform.
   *
   * @param name for example {@code run}
   * @param traceparent trace context of the hop that caused it, or empty
   */
  public Hop call(String name, String traceparent) {
    return begin(name, SpanKind.CLIENT, traceparent);
  }

  @Override
  public void close() {
    provider.shutdown().join(FLUSH_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private Hop begin(String name, SpanKind kind, String traceparent) {
    return new Hop(
        tracer
            .spanBuilder(name)
            .setSpanKind(kind)
            .setParent(TraceContexts.read(traceparent))
            .startSpan());
  }
}
