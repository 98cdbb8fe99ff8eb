package dev.bambootray.adapters.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import dev.bambootray.core.model.FailureDomainId;
import dev.bambootray.core.model.NodeId;
import dev.bambootray.core.model.RegionId;
import dev.bambootray.core.model.TemplateId;
import dev.bambootray.core.model.WorkerId;
import dev.bambootray.core.model.WorkspaceId;
import java.io.IOException;
import java.util.function.Function;

/** Writes identifiers as plain texts. */
final class IdentifierModule extends SimpleModule {
  private static final long serialVersionUID = 1L;

  IdentifierModule() {
    add(FailureDomainId.class, FailureDomainId::value, FailureDomainId::of);
    add(NodeId.class, NodeId::value, NodeId::of);
    add(RegionId.class, RegionId::value, RegionId::of);
    add(TemplateId.class, TemplateId::value, TemplateId::of);
    add(WorkerId.class, WorkerId::value, WorkerId::of);
    add(WorkspaceId.class, WorkspaceId::value, WorkspaceId::of);
  }

  private <T> void add(Class<T> type, Function<T, String> toText, Function<String, T> fromText) {
    addSerializer(type, new Writer<>(type, toText));
    addDeserializer(type, new Reader<>(type, fromText));
  }

  private static final class Writer<T> extends StdSerializer<T> {
    private static final long serialVersionUID = 1L;
    private final transient Function<T, String> toText;

    Writer(Class<T> type, Function<T, String> toText) {
      super(type);
      this.toText = toText;
    }

    @Override
    public void serialize(T value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeString(toText.apply(value));
    }
  }

  private static final class Reader<T> extends StdDeserializer<T> {
    private static final long serialVersionUID = 1L;
    private final transient Function<String, T> fromText;

    Reader(Class<T> type, Function<String, T> fromText) {
      super(type);
      this.fromText = fromText;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      if (!parser.hasToken(JsonToken.VALUE_STRING)) {
        throw context.wrongTokenException(
            parser, _valueClass, JsonToken.VALUE_STRING, "expected an identifier");
      }
      try {
        return fromText.apply(parser.getText());
      } catch (IllegalArgumentException e) {
        throw context.weirdStringException("", _valueClass, "invalid identifier");
      }
    }
  }
}
