package dev.hornbeamwheel.runtime.settings;

/**
 * Outcome of reading a settings file.
 *
 * @param <S> the settings type of the program
 */
public sealed interface SettingsResult<S> {
  /** The file holds complete and valid settings. */
  record Accepted<S>(S settings) implements SettingsResult<S> {}

  /** The file was refused. */
  record Rejected<S>(SettingsError error) implements SettingsResult<S> {}
}
