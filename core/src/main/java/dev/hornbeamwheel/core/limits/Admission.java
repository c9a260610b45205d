package dev.hornbeamwheel.core.limits;

/** Answer to the question whether a request of a contract may run now. */
public enum Admission {
  /** It may run; {@link LimitsReducer#finished} must follow. */
  ADMITTED,
  /** The share of the contract's rate is used up. */
  RATE_EXCEEDED,
  /** The share of the contract's concurrency is used up. */
  CONCURRENCY_EXCEEDED,
  /** This router holds no share yet, or its lease has lapsed; one has been asked for. */
  NO_SHARE,
  /** No such contract is in force. */
  UNKNOWN_CONTRACT;

  /** Returns whether the request may run. */
  public boolean admitted() {
    return this == ADMITTED;
  }
}
