package dev.hornbeamwheel.core.model;

/** Checks the texts of identifiers. */
final class Identifiers {
  /** Maximum length of an identifier, in characters. */
  private static final int MAX_ID_LENGTH = 200;

  private Identifiers() {}

  /**
   * Rejects a blank or over-long text.
   *
   * @param type name of the type, for the message
   * @param value the text; null counts as blank
   * @throws IllegalArgumentException if the text is blank or too long
   */
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
