package dev.hornbeamwheel.core.model;

/** Checks of identifier texts. */
final class Identifiers {
  /** Greatest length of an identifier, in characters. */
  private static final int MAX_ID_LENGTH = 200;

  private Identifiers() {}

  static void requireValid(String type, String value) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(type + " must not be blank");
    }
    if (value.length() > MAX_ID_LENGTH) {
      throw new IllegalArgumentException(
          type + " must have at most " + MAX_ID_LENGTH + " characters, not " + value.length());
    }
  }
}
