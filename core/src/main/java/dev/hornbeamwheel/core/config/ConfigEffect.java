package dev.hornbeamwheel.core.config;

/** What the version line of the configuration asks its process to do. */
public sealed interface ConfigEffect {
  /** Reads the configuration row from the platform. */
  record PollConfigurationRow() implements ConfigEffect {}

  /** Puts a configuration in force; each has a greater version than the one before. */
  record InForce(Configuration configuration) implements ConfigEffect {}

  /** Tells peers of a configuration that was read from the platform. */
  record Publish(Configuration configuration) implements ConfigEffect {}
}
