package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.SliceGrant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What an upstream holds of one cell, under one lease. */
final class HeldCell {
  private final Map<Slice, Epoch> slices = new HashMap<>();
  private Term latestTerm = Term.NONE;
  private long expiresAtMillis = Long.MIN_VALUE;
  private long setVersion;
  private long changedBy;

  /** Counts the leases; a lease that lapsed and was granted anew is another one. */
  private long lease;

  Term latestTerm() {
    return latestTerm;
  }

  /** Notes a term; order ids begin anew with each later one. */
  void sawTerm(Term term) {
    if (term.isAfter(latestTerm)) {
      latestTerm = term;
      changedBy = 0;
    }
  }

  /** Returns the id of the order that last changed the set within the latest term. */
  long changedBy() {
    return changedBy;
  }

  void changedBy(long orderId) {
    changedBy = orderId;
  }

  boolean live(long nowMillis) {
    return nowMillis < expiresAtMillis;
  }

  long lease() {
    return lease;
  }

  void renew(long nowMillis, long expiry) {
    if (live(nowMillis)) {
      expiresAtMillis = Math.max(expiresAtMillis, expiry);
    }
  }

  void replace(long nowMillis, long expiry, long version, List<SliceGrant> grants) {
    if (!live(nowMillis)) {
      lease++;
      expiresAtMillis = expiry;
    }
    expiresAtMillis = Math.max(expiresAtMillis, expiry);
    setVersion = version;
    slices.clear();
    grants.forEach(grant -> slices.put(grant.slice(), grant.epoch()));
  }

  void release(long nowMillis, long expiry, long version, Collection<Slice> released) {
    renew(nowMillis, expiry);
    setVersion = version;
    slices.keySet().removeAll(released);
  }

  /** Returns the name of the set that is held; zero if the lease has lapsed. */
  long heldSet(long nowMillis) {
    return live(nowMillis) ? setVersion : 0;
  }

  /** Returns the epoch at which a slice is held; none if it is not. */
  Epoch epoch(Slice slice, long nowMillis) {
    return live(nowMillis) ? slices.getOrDefault(slice, Epoch.NONE) : Epoch.NONE;
  }
}
