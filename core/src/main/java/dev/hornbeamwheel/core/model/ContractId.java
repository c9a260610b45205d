package dev.hornbeamwheel.core.model;

/**
 * Identifies the contract of one customer with the operators.
 *
 * @param value the text of the id, never blank; at most 200 characters
 */
public record ContractId(String value) implements Comparable<ContractId> {
  /** Rejects a blank or over-long value. */
  public ContractId {
    Identifiers.requireValid("ContractId", value);
  }

  /** Returns the id with the given text. */
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
