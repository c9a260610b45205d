package dev.hornbeamwheel.runtime.settings;

import java.util.List;
import java.util.Map;

/** A JSON value together with its place in the file. */
sealed interface JsonValue {
  SettingsError.Location location();

  /** Returns the name of the JSON type, with its article. */
  String typeName();

  /** Members in the order of the file. */
  record JsonObject(SettingsError.Location location, Map<String, JsonValue> fields)
      implements JsonValue {
    @Override
    public String typeName() {
      return "an object";
    }
  }

  /** Elements of a list. */
  record JsonList(SettingsError.Location location, List<JsonValue> items) implements JsonValue {
    @Override
    public String typeName() {
      return "a list";
    }
  }

  /** A text. */
  record JsonText(SettingsError.Location location, String value) implements JsonValue {
    @Override
    public String typeName() {
      return "a text";
    }
  }

  /** A whole number. */
  record JsonInteger(SettingsError.Location location, long value) implements JsonValue {
    @Override
    public String typeName() {
      return "a whole number";
    }
  }

  /** A value that no setting takes. */
  record JsonOther(SettingsError.Location location, String typeName) implements JsonValue {}
}
