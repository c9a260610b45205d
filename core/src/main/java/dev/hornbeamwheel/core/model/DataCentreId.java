package dev.hornbeamwheel.core.model;

/**
 * Identifies a data centre.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
  /** Rejects a blank or over-long value. */
  public DataCentreId {
    Identifiers.requireValid("DataCentreId", value);
  }

  /** Returns the id with the given text. */
  public static DataCentreId of(String value) {
    return new DataCentreId(value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
