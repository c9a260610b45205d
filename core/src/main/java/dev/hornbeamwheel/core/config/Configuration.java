package dev.hornbeamwheel.core.config;

/**
 * Declarations in force from a version on.
 *
 * @param version position on the single version line, from one; zero before the first apply
 * @param declarations the declarations
 */
public record Configuration(long version, Declarations declarations) {
  /** Returns the configuration before the first apply. */
  public static Configuration initial() {
    return new Configuration(0, Declarations.empty());
  }
}
