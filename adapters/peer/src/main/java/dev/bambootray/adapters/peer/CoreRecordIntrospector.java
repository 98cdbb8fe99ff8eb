package dev.bambootray.adapters.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.Version;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.NopAnnotationIntrospector;
import org.jspecify.annotations.Nullable;

/**
 * Writes records as arrays in the order of their components, without names. The messages of a
 * version may only gain components at the end.
 */
final class CoreRecordIntrospector extends NopAnnotationIntrospector {
  private static final long serialVersionUID = 1L;

  @Override
  public JsonFormat.@Nullable Value findFormat(Annotated annotated) {
    return annotated instanceof AnnotatedClass && annotated.getRawType().isRecord()
        ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)
        : null;
  }

  @Override
  public Version version() {
    return Version.unknownVersion();
  }
}
