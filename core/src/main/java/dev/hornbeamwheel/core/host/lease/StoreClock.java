package dev.hornbeamwheel.core.host.lease;

/** Bounds of the store's clock, by the time in one of its responses. */
final class StoreClock {
  private long storeMillis;
  private long requestMillis;
  private long responseMillis;

  /**
   * Records a response.
   *
   * @param requestSentMillis time at which its request was sent, on the clock of this host
   * @param receivedMillis time at which it was received, on the clock of this host
   * @param inResponseMillis the store's time in the response
   */
  void observed(long requestSentMillis, long receivedMillis, long inResponseMillis) {
    storeMillis = inResponseMillis;
    requestMillis = requestSentMillis;
    responseMillis = receivedMillis;
  }

  /** Returns when the request of the last response was sent, on the clock of this host. */
  long requestMillis() {
    return requestMillis;
  }

  /** Returns a time that is never behind the store's clock. */
  long latestMillis(long nowMillis) {
    return storeMillis + nowMillis - requestMillis;
  }

  /** Returns a time that is never ahead of the store's clock. */
  long earliestMillis(long nowMillis) {
    return storeMillis + nowMillis - responseMillis;
  }
}
