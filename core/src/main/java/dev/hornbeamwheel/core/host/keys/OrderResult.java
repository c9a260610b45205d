package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/** Result of an order to an upstream. */
public sealed interface OrderResult {
  /**
   * The upstream carried the order out.
   *
   * @param handover state to pass to the next owner; empty if there is none or after a grant
   * @param verified whether the answer certainly belongs to this order; otherwise it may be a
   *     repeated answer to an earlier one, and this order may still be carried out late
   */
  record Done(Optional<String> handover, boolean verified) implements OrderResult {
    /** Creates the result of an order whose answer certainly belongs to it. */
    public Done(Optional<String> handover) {
      this(handover, true);
    }
  }

  /** The upstream did nothing, because it has seen a greater fencing token for one of the keys. */
  record Fenced() implements OrderResult {}

  /** A different upstream now runs at the address; it holds no keys of the intended one. */
  record Misdirected() implements OrderResult {}

  /** The upstream refused the order for another reason and stated that it did nothing. */
  record Refused(int status) implements OrderResult {}

  /** The order was not sent, for instance because no connection could be made. */
  record NotSent(String reason) implements OrderResult {}

  /**
   * No conclusive answer arrived; the order may have been carried out or may still be carried out.
   */
  record Unanswered(String reason) implements OrderResult {}
}
