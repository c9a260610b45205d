package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Slice;
import java.util.ArrayList;
import java.util.List;

/** What a row asks of one upstream: the set to hold, the slices to give up and those to come. */
final class UpstreamState {
  /** Odd multiplier that spreads the bits of a slice over a digest. */
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

  /** Forgets the sets, before they are added anew. */
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

  /** Fixes which earlier orders must expire before the leaving slices may be released. */
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

  /** Returns the version of the set that the upstream should hold; zero if it should hold none. */
  long desiredVersion() {
    return desiredVersion;
  }

  /** Returns the version of the set that remains after a release. */
  long versionAfterRelease() {
    return lease.reportedVersion() == desiredVersion + releaseDigest ? desiredVersion : -1;
  }

  /** Returns whether the upstream should be given its set anew. */
  boolean needsReplace() {
    long reported = lease.reportedVersion();
    if (reported == desiredVersion || reported == desiredVersion + pendingDigest) {
      return false;
    }
    return slicesToRelease.isEmpty() || reported == 0;
  }

  /** Returns whether the upstream holds or should hold anything. */
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

  /** Returns true once after the upstream came to hold another set as a whole. */
  boolean pollGranted() {
    boolean first =
        grantedVersion != desiredVersion
            && desiredVersion != 0
            && lease.reportedVersion() == desiredVersion;
    grantedVersion = first ? desiredVersion : grantedVersion;
    return first;
  }

  /** Returns a number that stands for a slice held at an epoch. */
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
