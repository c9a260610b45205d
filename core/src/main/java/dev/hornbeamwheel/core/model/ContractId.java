package dev.hornbeamwheel.core.model;

/**
 * Identifies a contract between operators and one customer.
 *
 * @param value the text form, never blank
 */
public record ContractId(String value) implements Comparable<ContractId> {
  /** Rejects a blank value. */
  public ContractId {
    Identifiers.requireValid("ContractId", value);
  }

  /** Returns the id with the given text form. */
  public static ContractId of(String value) {
    return new ContractId(value);
  }

  @Override
  public int compareTo(ContractId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
