package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/** What became of an order to an upstream. */
public sealed interface OrderResult {
  /**
   * The upstream carried the order out.
   *
   * @param handover what it passes on to the next owner, after a release
   */
  record Done(Optional<String> handover) implements OrderResult {}

  /** The upstream has seen a greater fencing token on one of the keys, and did nothing. */
  record Fenced() implements OrderResult {}

  /** Another upstream has the address by now; it holds nothing of the one that was meant. */
  record Misdirected() implements OrderResult {}

  /** The upstream refused the order for another reason, and did nothing. */
  record Refused(int status) implements OrderResult {}

  /** No connection could be made; the order was not sent. */
  record NotSent(String reason) implements OrderResult {}

  /** No answer arrived; the order may have been carried out, or may still be. */
  record Unanswered(String reason) implements OrderResult {}
}
