package dev.bambootray.adapters.peer;

import java.lang.reflect.AnnotatedElement;
import java.lang.reflect.RecordComponent;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Refuses decoded records with null where the type does not allow it, so that a malformed message
 * cannot bring nulls into the core.
 */
final class NullCheck {
  private static final ClassValue<List<RecordComponent>> COMPONENTS =
      new ClassValue<>() {
        @Override
        protected List<RecordComponent> computeValue(Class<?> type) {
          return List.of(type.getRecordComponents());
        }
      };

  private NullCheck() {}

  /** Returns whether the value and everything that it holds is complete. */
  static boolean isComplete(@Nullable Object value) {
    if (value instanceof List<?> list) {
      return list.stream().allMatch(NullCheck::isComplete);
    }
    if (value instanceof Record record) {
      return COMPONENTS.get(record.getClass()).stream()
          .allMatch(component -> isComplete(record, component));
    }
    return value != null;
  }

  private static boolean isComplete(Record record, RecordComponent component) {
    Object value;
    try {
      value = component.getAccessor().invoke(record);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("records of the core are public", e);
    }
    return value == null ? isNullable(component.getAnnotatedType()) : isComplete(value);
  }

  private static boolean isNullable(AnnotatedElement type) {
    return type.isAnnotationPresent(Nullable.class);
  }
}
