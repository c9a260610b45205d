package dev.hornbeamwheel.runtime.cli;

import dev.hornbeamwheel.runtime.logging.LogFlush;
import dev.hornbeamwheel.runtime.settings.SettingsObject;

/**
 * A long-running program.
 *
 * @param <S> the type of its settings
 */
public interface Program<S> {
  /** Returns the name of the command. */
  String name();

  /** Returns what the program does, in one line. */
  String summary();

  /** Makes the settings from the outermost object of the settings file. */
  S settings(SettingsObject document);

  /**
   * Starts the program and returns when it serves.
   *
   * @return the running program, or why it could not start
   */
  StartResult start(S settings);

  /** Writes out what the log still holds, before the process ends. */
  default void flushLogs() {
    LogFlush.run();
  }
}
