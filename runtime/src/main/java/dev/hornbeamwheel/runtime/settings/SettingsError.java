package dev.hornbeamwheel.runtime.settings;

import java.nio.file.Path;
import java.util.List;

/**
 * Why a settings file was refused.
 *
 * <p>Each kind has a section in {@code docs/TROUBLESHOOTING.md}, which {@link #anchor()} names.
 */
public sealed interface SettingsError {
  /** Page that explains every error. */
  String PAGE = "docs/TROUBLESHOOTING.md";

  /** Returns what is wrong, in one sentence without the place. */
  String problem();

  /** Returns what the operator should do. */
  String remedy();

  /** Returns the heading of the section that explains this kind of error. */
  String anchor();

  /** Returns the file that was refused. */
  Path file();

  /** Returns the place in the file, empty where none applies. */
  String place();

  /** Returns place, problem, remedy and the section to read, on one line. */
  default String message() {
    return "%s%s: %s; %s (see %s#%s)"
        .formatted(file(), place(), problem(), remedy(), PAGE, anchor());
  }

  /**
   * Place of a value in a settings file.
   *
   * @param line from one
   * @param column from one
   * @param path path of the value in the document, for instance {@code $.seeds[1]}
   */
  record Location(int line, int column, String path) {
    @Override
    public String toString() {
      return ":" + line + ":" + column + ": " + path;
    }
  }

  /** The file could not be read. */
  record Unreadable(Path file, String cause) implements SettingsError {
    @Override
    public String problem() {
      return "the file cannot be read (" + cause + ")";
    }

    @Override
    public String remedy() {
      return "name an existing file that this process may read";
    }

    @Override
    public String anchor() {
      return "settings-unreadable";
    }

    @Override
    public String place() {
      return "";
    }
  }

  /** The file is not one JSON document. */
  record Malformed(Path file, Location location, String cause) implements SettingsError {
    @Override
    public String problem() {
      return "malformed JSON (" + cause + ")";
    }

    @Override
    public String remedy() {
      return "correct the JSON at this place";
    }

    @Override
    public String anchor() {
      return "settings-malformed";
    }

    @Override
    public String place() {
      return location.toString();
    }
  }

  /** The file has a field that the program does not know. */
  record UnknownField(Path file, Location location, List<String> known) implements SettingsError {
    /** Copies the list. */
    public UnknownField {
      known = List.copyOf(known);
    }

    @Override
    public String problem() {
      return "unknown field";
    }

    @Override
    public String remedy() {
      return "remove it or use one of " + known;
    }

    @Override
    public String anchor() {
      return "settings-unknown-field";
    }

    @Override
    public String place() {
      return location.toString();
    }
  }

  /** The file lacks a field that the program needs. */
  record MissingField(Path file, Location location) implements SettingsError {
    @Override
    public String problem() {
      return "required field is missing";
    }

    @Override
    public String remedy() {
      return "add the field to the object that starts here";
    }

    @Override
    public String anchor() {
      return "settings-missing-field";
    }

    @Override
    public String place() {
      return location.toString();
    }
  }

  /** A field has a value of another JSON type. */
  record WrongType(Path file, Location location, String expected, String found)
      implements SettingsError {
    @Override
    public String problem() {
      return "expected " + expected + " but found " + found;
    }

    @Override
    public String remedy() {
      return "write " + expected;
    }

    @Override
    public String anchor() {
      return "settings-wrong-type";
    }

    @Override
    public String place() {
      return location.toString();
    }
  }

  /** A field has a value outside its domain. */
  record InvalidValue(Path file, Location location, String problem, String remedy)
      implements SettingsError {
    @Override
    public String anchor() {
      return "settings-invalid-value";
    }

    @Override
    public String place() {
      return location.toString();
    }
  }
}
