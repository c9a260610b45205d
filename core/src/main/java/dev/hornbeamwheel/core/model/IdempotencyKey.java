package dev.hornbeamwheel.core.model;

/**
 * Identifies one non-idempotent operation of a contract across all its retries.
 *
 * @param value the text of the key, never blank; at most 200 characters
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
  /** Rejects a blank or over-long value. */
  public IdempotencyKey {
    Identifiers.requireValid("IdempotencyKey", value);
  }

  /** Returns the key with the given text. */
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
