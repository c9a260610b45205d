package dev.hornbeamwheel.core.host.allowance;

/**
 * The requests of a host for the renewal of a lease that the coordinator grants, and the expiry of
 * the lease. A lease counts from the time of its request, which is never later than the grant.
 */
public final class LeaseRenewal {
  private final long intervalMillis;
  private final long durationMillis;
  private boolean due = true;
  private boolean pending;
  private long number;
  private long requestedMillis = Long.MIN_VALUE / 2;
  private long expiryMillis = Long.MIN_VALUE / 2;

  private LeaseRenewal(long intervalMillis, long durationMillis) {
    this.intervalMillis = intervalMillis;
    this.durationMillis = durationMillis;
  }

  /** Returns the renewal of a lease that is requested at most once in an interval. */
  public static LeaseRenewal every(long intervalMillis, long durationMillis) {
    return new LeaseRenewal(intervalMillis, durationMillis);
  }

  /** Returns whether a renewal is due. */
  public boolean due(long nowMillis) {
    return due || nowMillis - requestedMillis >= intervalMillis;
  }

  /** Makes a renewal due before the interval has passed. */
  public void makeDue() {
    due = true;
  }

  /** Records a request, by the number that its answer names. */
  public void requested(long nowMillis, long requestNumber) {
    due = false;
    pending = true;
    number = requestNumber;
    requestedMillis = nowMillis;
  }

  /** Records a lease; returns false if it does not answer the last request, and is not used. */
  public boolean answered(long requestNumber) {
    if (!pending || requestNumber != number) {
      return false;
    }
    pending = false;
    expiryMillis = requestedMillis + durationMillis;
    return true;
  }

  /** Returns whether the host holds a lease now. */
  public boolean leased(long nowMillis) {
    return nowMillis < expiryMillis;
  }

  /** Returns the time from which the last lease counts, in milliseconds. */
  public long leaseStartMillis() {
    return expiryMillis - durationMillis;
  }
}
