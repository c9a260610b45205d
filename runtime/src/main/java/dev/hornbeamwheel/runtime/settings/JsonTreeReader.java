package dev.hornbeamwheel.runtime.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads one JSON document into a tree that remembers the place of each value. */
final class JsonTreeReader {
  private static final JsonFactory FACTORY =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  private final JsonParser parser;

  private JsonTreeReader(JsonParser parser) {
    this.parser = parser;
  }

  /**
   * Reads a document.
   *
   * @throws JsonProcessingException if the text is not exactly one JSON document
   */
  static JsonValue read(String text) throws IOException {
    try (JsonParser parser = FACTORY.createParser(text)) {
      parser.nextToken();
      JsonTreeReader reader = new JsonTreeReader(parser);
      JsonValue root = reader.value("$");
      if (parser.nextToken() != null) {
        throw new MalformedDocument("text after the document", parser.currentTokenLocation());
      }
      return root;
    }
  }

  private JsonValue value(String path) throws IOException {
    JsonToken token = parser.currentToken();
    if (token == null) {
      throw new MalformedDocument("the document is empty", parser.currentLocation());
    }
    SettingsError.Location location = location(path);
    return switch (token) {
      case START_OBJECT -> new JsonValue.JsonObject(location, fields(path));
      case START_ARRAY -> new JsonValue.JsonList(location, items(path));
      case VALUE_STRING -> new JsonValue.JsonText(location, parser.getText());
      case VALUE_NUMBER_INT -> integer(location);
      default -> new JsonValue.JsonOther(location, parser.getText());
    };
  }

  private JsonValue integer(SettingsError.Location location) throws IOException {
    if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      return new JsonValue.JsonOther(location, "a number beyond 64 bits");
    }
    return new JsonValue.JsonInteger(location, parser.getLongValue());
  }

  private Map<String, JsonValue> fields(String path) throws IOException {
    Map<String, JsonValue> fields = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      fields.put(name, value(path + "." + name));
    }
    return fields;
  }

  private List<JsonValue> items(String path) throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(value(path + "[" + items.size() + "]"));
    }
    return items;
  }

  private SettingsError.Location location(String path) {
    JsonLocation at = parser.currentTokenLocation();
    return new SettingsError.Location(at.getLineNr(), at.getColumnNr(), path);
  }

  private static final class MalformedDocument extends JsonProcessingException {
    private static final long serialVersionUID = 1;

    MalformedDocument(String message, JsonLocation location) {
      super(message, location);
    }
  }
}
