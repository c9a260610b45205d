package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.Slice;
import java.util.ArrayList;
import java.util.List;

/** What a row asks of one upstream: the set to hold, the slices to give up and those to come. */
final class UpstreamWork {
  /** Odd multiplier that spreads the bits of a slice over a digest. */
  private static final long SPREAD = 0x9E3779B97F4A7C15L;

  private final UpstreamLease lease;
  private final List<Slice> leaving = new ArrayList<>();
  private long desired;
  private long arriving;
  private long leavingDigest;
  private int generation;
  private long releaseGate = Long.MIN_VALUE;
  private long nextRenewalAt = Long.MIN_VALUE;
  private long nextChangeAt = Long.MIN_VALUE;
  private long granted;

  UpstreamWork(UpstreamLease lease) {
    this.lease = lease;
  }

  UpstreamLease lease() {
    return lease;
  }

  /** Forgets the sets, before they are added anew. */
  void clear() {
    leaving.clear();
    desired = 0;
    arriving = 0;
    leavingDigest = 0;
    generation++;
  }

  void hold(Assignment assignment) {
    desired += digest(assignment.slice(), assignment.epoch().value());
  }

  void expect(Assignment assignment) {
    arriving += digest(assignment.slice(), assignment.epoch().value());
  }

  void leave(Assignment assignment) {
    leaving.add(assignment.slice());
    leavingDigest += digest(assignment.slice(), assignment.epoch().value() - 1);
  }

  /** Fixes which earlier orders must expire before the leaving slices may be released. */
  void fixGate() {
    releaseGate = lease.latestReplaceExpiry();
  }

  long releaseGate() {
    return releaseGate;
  }

  List<Slice> leaving() {
    return leaving;
  }

  int generation() {
    return generation;
  }

  /** Returns the version of the set that the upstream should hold; zero if it should hold none. */
  long desired() {
    return desired;
  }

  /** Returns the version of the set that remains after a release. */
  long remaining() {
    return lease.reported() == desired + leavingDigest ? desired : -1;
  }

  /** Returns whether the upstream should be given its set anew. */
  boolean needsReplace() {
    long reported = lease.reported();
    if (reported == desired || reported == desired + arriving) {
      return false;
    }
    return leaving.isEmpty() || reported == 0;
  }

  /** Returns whether the upstream holds or should hold anything. */
  boolean involved() {
    return desired != 0 || arriving != 0 || lease.reported() != 0 || !leaving.isEmpty();
  }

  boolean renewalDue(long now) {
    return now >= nextRenewalAt;
  }

  void renewed(long now, long intervalMillis) {
    nextRenewalAt = now + intervalMillis;
  }

  void renewSoon() {
    nextRenewalAt = Long.MIN_VALUE;
  }

  boolean changeDue(long now) {
    return now >= nextChangeAt;
  }

  void changed(long now, long intervalMillis) {
    nextChangeAt = now + intervalMillis;
  }

  void changeSoon() {
    nextChangeAt = Long.MIN_VALUE;
  }

  /** Returns true once after the upstream came to hold another set as a whole. */
  boolean takeGranted() {
    boolean first = granted != desired && desired != 0 && lease.reported() == desired;
    granted = first ? desired : granted;
    return first;
  }

  /** Returns a number that stands for a slice held at an epoch. */
  private static long digest(Slice slice, long epoch) {
    long mixed = mix(slice.shard() + SPREAD * (epoch + 1));
    return mix(mixed ^ slice.keyHash());
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
