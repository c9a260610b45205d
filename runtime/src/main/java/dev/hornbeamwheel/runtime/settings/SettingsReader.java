package dev.hornbeamwheel.runtime.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import dev.hornbeamwheel.runtime.settings.SettingsError.Location;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;

/**
 * Reads a settings file and refuses whatever it cannot account for.
 *
 * <pre>{@code
 * SettingsResult<RouterSettings> result = SettingsReader.read(file, RouterSettings::from);
 * }</pre>
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads a file.
   *
   * @param file the file, never null
   * @param read makes the settings from the outermost object; it names every field that is known
   */
  public static <S> SettingsResult<S> read(Path file, Function<SettingsObject, S> read) {
    try {
      JsonValue root = JsonTreeReader.read(Files.readString(file));
      return new SettingsResult.Accepted<>(SettingsObject.readAll(file, root, read));
    } catch (SettingsObject.Refusal refusal) {
      return new SettingsResult.Rejected<>(refusal.error());
    } catch (JsonProcessingException e) {
      return new SettingsResult.Rejected<>(malformed(file, e));
    } catch (IOException e) {
      return new SettingsResult.Rejected<>(
          new SettingsError.Unreadable(file, e.getClass().getSimpleName()));
    }
  }

  private static SettingsError malformed(Path file, JsonProcessingException e) {
    JsonLocation at = e.getLocation();
    Location location =
        at == null ? new Location(1, 1, "$") : new Location(at.getLineNr(), at.getColumnNr(), "$");
    return new SettingsError.Malformed(file, location, e.getOriginalMessage());
  }
}
