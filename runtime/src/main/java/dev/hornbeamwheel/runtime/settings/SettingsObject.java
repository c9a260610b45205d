package dev.hornbeamwheel.runtime.settings;

import dev.hornbeamwheel.runtime.settings.SettingsError.Location;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One object of a settings file, read field by field.
 *
 * <p>Each accessor checks the field that it names. When the whole file has been read, a field that
 * no accessor named is refused. Accessors end the reading at the first fault; {@link
 * SettingsReader} turns that into a {@link SettingsError}.
 *
 * <pre>{@code
 * MemberId member = object.value("member", MemberId::of);
 * InetSocketAddress peer = object.address("peerAddress");
 * int sampling = object.integer("decisionSampling", 1, 1_000_000, 1);
 * }</pre>
 */
public final class SettingsObject {
  private static final Pattern ADDRESS =
      Pattern.compile("(?:\\[([0-9a-fA-F:.]+)]|(\\d{1,3}(?:\\.\\d{1,3}){3})):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  private final Path file;
  private final JsonValue.JsonObject object;
  private final TreeSet<String> named = new TreeSet<>();

  private SettingsObject(Path file, JsonValue.JsonObject object) {
    this.file = file;
    this.object = object;
  }

  static SettingsObject of(Path file, JsonValue value) {
    if (value instanceof JsonValue.JsonObject object) {
      return new SettingsObject(file, object);
    }
    throw wrongType(file, value, "an object");
  }

  /** Returns a required text, never blank. */
  public String text(String field) {
    return textOf(required(field));
  }

  /**
   * Returns a required text that {@code parser} accepts; it rejects by IllegalArgumentException.
   */
  public <T> T value(String field, Function<String, T> parser) {
    JsonValue value = required(field);
    return parse(value, textOf(value), parser);
  }

  /** Returns the parsed text of a field, or empty if the file lacks the field. */
  public <T> Optional<T> optionalValue(String field, Function<String, T> parser) {
    return optional(field).map(value -> parse(value, textOf(value), parser));
  }

  /** Returns the parsed texts of a required list. */
  public <T> List<T> values(String field, Function<String, T> parser) {
    return items(field).stream().map(item -> parse(item, textOf(item), parser)).toList();
  }

  /** Returns a required whole number from {@code min} to {@code max}, both inclusive. */
  public int integer(String field, int min, int max) {
    return integerOf(required(field), min, max);
  }

  /** Returns a whole number in bounds, or {@code absent} if the file lacks the field. */
  public int integer(String field, int min, int max, int absent) {
    return optional(field).map(value -> integerOf(value, min, max)).orElse(absent);
  }

  /** Returns a required address, an IP number with a port such as {@code 127.0.0.1:7100}. */
  public InetSocketAddress address(String field) {
    return value(field, SettingsObject::parseAddress);
  }

  /** Returns the addresses of a required list. */
  public List<InetSocketAddress> addresses(String field) {
    return values(field, SettingsObject::parseAddress);
  }

  /** Returns a required absolute URI. */
  public URI uri(String field) {
    return value(field, SettingsObject::parseUri);
  }

  /** Returns what {@code read} makes of a required inner object, all fields of it checked. */
  public <T> T section(String field, Function<SettingsObject, T> read) {
    return readAll(file, required(field), read);
  }

  /** Returns what {@code read} makes of each object of a required list. */
  public <T> List<T> sections(String field, Function<SettingsObject, T> read) {
    return items(field).stream().map(item -> readAll(file, item, read)).toList();
  }

  /** Returns what {@code read} makes of each object of a list, nothing if the file lacks it. */
  public <T> List<T> optionalSections(String field, Function<SettingsObject, T> read) {
    return optional(field).isEmpty() ? List.of() : sections(field, read);
  }

  static <T> T readAll(Path file, JsonValue value, Function<SettingsObject, T> read) {
    SettingsObject object = of(file, value);
    T result = read.apply(object);
    object.refuseUnknownFields();
    return result;
  }

  private void refuseUnknownFields() {
    object.fields().entrySet().stream()
        .filter(field -> !named.contains(field.getKey()))
        .findFirst()
        .ifPresent(
            field -> {
              Location at = field.getValue().location();
              throw new Refusal(new SettingsError.UnknownField(file, at, List.copyOf(named)));
            });
  }

  private Optional<JsonValue> optional(String field) {
    named.add(field);
    return Optional.ofNullable(object.fields().get(field));
  }

  private JsonValue required(String field) {
    return optional(field).orElseThrow(() -> missing(field));
  }

  private Refusal missing(String field) {
    Location at = object.location();
    Location location = new Location(at.line(), at.column(), at.path() + "." + field);
    return new Refusal(new SettingsError.MissingField(file, location));
  }

  private List<JsonValue> items(String field) {
    JsonValue value = required(field);
    if (value instanceof JsonValue.JsonList list) {
      return list.items();
    }
    throw wrongType(file, value, "a list");
  }

  private String textOf(JsonValue value) {
    if (!(value instanceof JsonValue.JsonText text)) {
      throw wrongType(file, value, "a text");
    }
    if (text.value().isBlank()) {
      throw invalid(value, "the text is blank", "write a text that is not blank");
    }
    return text.value();
  }

  private int integerOf(JsonValue value, int min, int max) {
    if (!(value instanceof JsonValue.JsonInteger integer)) {
      throw wrongType(file, value, "a whole number");
    }
    if (integer.value() < min || integer.value() > max) {
      throw invalid(
          value,
          integer.value() + " is out of bounds",
          "write a number from " + min + " to " + max);
    }
    return (int) integer.value();
  }

  private <T> T parse(JsonValue value, String text, Function<String, T> parser) {
    try {
      return parser.apply(text);
    } catch (IllegalArgumentException e) {
      throw invalid(value, "\"" + text + "\" is refused", e.getMessage());
    }
  }

  private Refusal invalid(JsonValue value, String problem, String remedy) {
    return new Refusal(new SettingsError.InvalidValue(file, value.location(), problem, remedy));
  }

  private static Refusal wrongType(Path file, JsonValue value, String expected) {
    return new Refusal(
        new SettingsError.WrongType(file, value.location(), expected, value.typeName()));
  }

  private static InetSocketAddress parseAddress(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(3)) > MAX_PORT) {
      throw new IllegalArgumentException(
          "write an IP number with a port, for instance 127.0.0.1:7100 or [::1]:7100");
    }
    String number = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    try {
      return new InetSocketAddress(
          InetAddress.getByName(number), Integer.parseInt(matcher.group(3)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("write a valid IP number", e);
    }
  }

  private static URI parseUri(String text) {
    URI uri = URI.create(text);
    if (!uri.isAbsolute() || uri.getHost() == null) {
      throw new IllegalArgumentException(
          "write an absolute URI, for instance http://127.0.0.1:7000");
    }
    return uri;
  }

  /** Carries the first fault to the reader. */
  static final class Refusal extends RuntimeException {
    private static final long serialVersionUID = 1;
    private final transient SettingsError error;

    Refusal(SettingsError error) {
      super(error.message(), null, false, false);
      this.error = error;
    }

    SettingsError error() {
      return error;
    }
  }
}
