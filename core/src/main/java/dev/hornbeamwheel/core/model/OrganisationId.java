package dev.hornbeamwheel.core.model;

/**
 * Identifies an organisation, the account of one customer in the configuration.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {
  /** Rejects a blank or over-long value. */
  public OrganisationId {
    Identifiers.requireValid("OrganisationId", value);
  }

  /** Returns the id with the given text. */
  public static OrganisationId of(String value) {
    return new OrganisationId(value);
  }

  @Override
  public int compareTo(OrganisationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
