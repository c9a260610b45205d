package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Slice;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the slices that one upstream should hold, release and receive later according to the row,
 * and when its next order is due.
 */
final class UpstreamState {
  /** Odd multiplier that spreads the bits of the epoch over a digest; from SplitMix64. */
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private final UpstreamLease lease;
  private final List<Slice> slicesToRelease = new ArrayList<>();
  private long desiredVersion;
  private long pendingDigest;
  private long releaseDigest;
  private int generation;
  private long releaseBarrier = Long.MIN_VALUE;
  private long nextRenewalAt = Long.MIN_VALUE;
  private long nextChangeAt = Long.MIN_VALUE;
  private long grantedVersion;

  UpstreamState(UpstreamLease lease) {
    this.lease = lease;
  }

  UpstreamLease lease() {
    return lease;
  }

  /** Clears the sets before they are rebuilt. */
  void clear() {
    slicesToRelease.clear();
    desiredVersion = 0;
    pendingDigest = 0;
    releaseDigest = 0;
    generation++;
  }

  void addDesired(Assignment assignment) {
    desiredVersion += digest(assignment.slice(), assignment.epoch().value());
  }

  void addPending(Assignment assignment) {
    pendingDigest += digest(assignment.slice(), assignment.epoch().value());
  }

  void addSliceToRelease(Assignment assignment) {
    slicesToRelease.add(assignment.slice());
    releaseDigest += digest(assignment.slice(), assignment.epoch().value() - 1);
  }

  /** Sets the expiry of earlier grants as the time before which no slice may be released. */
  void setReleaseBarrier() {
    releaseBarrier = lease.latestReplaceExpiry();
  }

  long releaseBarrier() {
    return releaseBarrier;
  }

  List<Slice> slicesToRelease() {
    return slicesToRelease;
  }

  int generation() {
    return generation;
  }

  /**
   * Returns the version of the set that the upstream should hold; zero if it should hold nothing.
   */
  long desiredVersion() {
    return desiredVersion;
  }

  /**
   * Returns the version of the set that remains after a release, or -1 if the upstream does not
   * hold exactly that set and the slices to release.
   */
  long versionAfterRelease() {
    return lease.reportedVersion() == desiredVersion + releaseDigest ? desiredVersion : -1;
  }

  /** Returns whether the upstream needs a {@link UpstreamOrder.Replace}. */
  boolean needsReplace() {
    long reported = lease.reportedVersion();
    if (reported == desiredVersion || reported == desiredVersion + pendingDigest) {
      return false;
    }
    return slicesToRelease.isEmpty() || reported == 0;
  }

  /** Returns whether the upstream holds, should hold or must release any slice. */
  boolean hasSlices() {
    return desiredVersion != 0
        || pendingDigest != 0
        || lease.reportedVersion() != 0
        || !slicesToRelease.isEmpty();
  }

  boolean renewalDue(long now) {
    return now >= nextRenewalAt;
  }

  void deferRenewal(long now, long intervalMillis) {
    nextRenewalAt = now + intervalMillis;
  }

  void renewNow() {
    nextRenewalAt = Long.MIN_VALUE;
  }

  boolean changeDue(long now) {
    return now >= nextChangeAt;
  }

  void deferChange(long now, long intervalMillis) {
    nextChangeAt = now + intervalMillis;
  }

  void changeNow() {
    nextChangeAt = Long.MIN_VALUE;
  }

  /** Returns whether the upstream now holds its desired set; true only once per set. */
  boolean pollGranted() {
    boolean first =
        grantedVersion != desiredVersion
            && desiredVersion != 0
            && lease.reportedVersion() == desiredVersion;
    grantedVersion = first ? desiredVersion : grantedVersion;
    return first;
  }

  /** Returns a digest of a slice and its epoch; the digests of a set are summed to its version. */
  private static long digest(Slice slice, long epoch) {
    long mixed = mix(slice.shard() + GOLDEN_GAMMA * (epoch + 1));
    return mix(mixed ^ slice.keyHash());
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
