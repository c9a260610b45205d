package dev.hornbeamwheel.core.model;

/**
 * Identifies one non-idempotent operation of a contract, however often it is sent.
 *
 * @param value the text form, never blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
  /** Rejects a blank value. */
  public IdempotencyKey {
    Identifiers.requireValid("IdempotencyKey", value);
  }

  /** Returns the id with the given text form. */
  public static IdempotencyKey of(String value) {
    return new IdempotencyKey(value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
