package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.EraNumber;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.model.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Acquires, renews and releases the coordinator's lease.
 *
 * <p>The lease expires at a time on the store's clock. Another host acquires it only after a
 * response of the store with a later time. The holder treats its lease as expired before that: it
 * takes the time in the store's response plus the time since it sent the <em>request</em>, a sum
 * that is never behind the store's clock. Therefore no two hosts hold the lease at the same time.
 *
 * <p>After the store was restored from a snapshot, the row is outdated until a host writes it in
 * the new era. The holder does so at once; any other host waits until a holder of an earlier era no
 * longer believes in its lease. A row that a late write of an earlier era leaves is outdated, too.
 *
 * <p>{@code nowMillis} comes from a clock that continues while the process is suspended.
 */
public final class CoordinatorLease {
  /** Duration of the lease, in milliseconds. */
  public static final long LEASE_DURATION_MILLIS = 1_600;

  /** Interval between two renewals, in milliseconds. */
  static final long RENEW_INTERVAL_MILLIS = 500;

  /** Time before the expiry at which the holder treats its lease as expired, in milliseconds. */
  static final long EXPIRY_MARGIN_MILLIS = 100;

  /** Delay before a failed renewal is retried, in milliseconds. */
  private static final long RENEW_RETRY_MILLIS = 100;

  /** Maximum random delay before an acquisition, in milliseconds; makes write conflicts rare. */
  private static final int ACQUIRE_JITTER_MILLIS = 150;

  /** Delay before an acquisition is retried after a failed read, in milliseconds. */
  private static final long ACQUIRE_RETRY_MILLIS = 700;

  /**
   * Interval at which a host reads the lease row during its acquire delay, or while it stops, in
   * milliseconds.
   */
  private static final long ACQUIRE_DELAY_POLL_MILLIS = 200;

  /** Delay before a failed release is retried, in milliseconds. */
  private static final long RELEASE_RETRY_MILLIS = 100;

  /**
   * Maximum transit time of a call to the store, in milliseconds: the time after which it is given
   * up. A holder's reading of the store's clock is ahead by at most as much.
   */
  private static final long MAX_TRANSIT_MILLIS = 600;

  /**
   * Time on the store's clock for which an outdated row must be unchanged before another host
   * acquires the lease, in milliseconds: the longest time for which a lost row lets its writer
   * believe in its lease.
   */
  static final long OUTDATED_ROW_MILLIS =
      LEASE_DURATION_MILLIS + MAX_TRANSIT_MILLIS + EXPIRY_MARGIN_MILLIS;

  /** Interval at which a host reads an outdated row again, in milliseconds. */
  private static final long OUTDATED_POLL_MILLIS = 1_000;

  private final HostId self;
  private final Address address;
  private final Random random;
  private final List<LeaseEffect> effects = new ArrayList<>();
  private final StoreClock storeClock = new StoreClock();

  private boolean leader;
  private boolean releasing;
  private boolean releaseDue;
  private long nextReleaseMillis;
  private long term;
  private long heldTerm;
  private StoreVersion version = StoreVersion.ofEraZero(0);
  private StoreVersion outdatedVersion = StoreVersion.unknown();
  private long outdatedSinceStoreMillis;
  private long validUntilStoreMillis;
  private long pendingCallMillis = -1;
  private boolean pendingWrite;
  private boolean writeInDoubt;
  private LeaseRow pendingRow;
  private long nextRenewMillis;
  private boolean handingOver;
  private boolean termAbandoned;
  private boolean acquiring;
  private long acquireDelayMillis;
  private HostCapacity bestCapacity = HostCapacity.unknown();
  private int fleetSize;
  private long nextAcquireMillis;

  private CoordinatorLease(HostId self, Address address, long seed) {
    this.self = self;
    this.address = address;
    this.random = new Random(seed);
  }

  /**
   * Returns a lease that this host does not hold.
   *
   * @param self id of this host
   * @param address address at which other hosts reach this host
   * @param seed seed of the random delays
   */
  public static CoordinatorLease create(HostId self, Address address, long seed) {
    return new CoordinatorLease(self, address, seed);
  }

  /**
   * Returns whether this host holds the lease now; false also for a lease that may have expired on
   * the store's clock.
   */
  public boolean isLeader(long nowMillis) {
    return leader
        && storeClock.latestMillis(nowMillis) < validUntilStoreMillis - EXPIRY_MARGIN_MILLIS;
  }

  /** Returns whether a renewal is overdue, which indicates that the store may be unavailable. */
  public boolean renewalOverdue(long nowMillis) {
    return leader
        && nowMillis - storeClock.requestMillis()
            > RENEW_INTERVAL_MILLIS + RENEW_INTERVAL_MILLIS / 2;
  }

  /** Returns the latest term that this host acquired or tried to acquire; zero if there is none. */
  public long term() {
    return term;
  }

  /**
   * Starts to acquire the lease as soon as it has expired. Called while no working coordinator is
   * known. After {@link #release} it only looks for the next holder.
   */
  public List<LeaseEffect> acquire(long nowMillis) {
    return acquire(nowMillis, 0);
  }

  /**
   * Starts to acquire the lease some time after it has expired, so that other hosts can acquire it
   * first.
   *
   * @param acquireDelay delay after the expiry of the lease, in milliseconds
   */
  public List<LeaseEffect> acquire(long nowMillis, long acquireDelay) {
    updateAcquireDelay(acquireDelay);
    if (!acquiring && !leader) {
      acquiring = true;
      nextAcquireMillis =
          Math.max(nextAcquireMillis, nowMillis + random.nextInt(ACQUIRE_JITTER_MILLIS));
    }
    return drainEffects();
  }

  /**
   * Sets the greatest known capacity of a host. It is written to the lease row for hosts that start
   * later.
   */
  public void updateBestCapacity(HostCapacity capacity) {
    bestCapacity = capacity;
  }

  /** Returns the number of hosts of the fleet as the last holder knew it; zero if unknown. */
  public int fleetSize() {
    return fleetSize;
  }

  /** Takes over the number of hosts of the fleet, which the lease row names; zero if unknown. */
  public void updateFleetSize(int size) {
    fleetSize = size > 0 ? size : fleetSize;
  }

  /** Sets the delay between the expiry of the lease and its acquisition, in milliseconds. */
  public void updateAcquireDelay(long millis) {
    acquireDelayMillis = millis;
  }

  /** Makes the next read due, since the holder says that it has given up the lease. */
  public void offered(long nowMillis) {
    nextAcquireMillis =
        Math.min(nextAcquireMillis, nowMillis + random.nextInt(ACQUIRE_JITTER_MILLIS));
  }

  /** Stops acquiring the lease, since a coordinator is reachable. */
  public void cancelAcquire() {
    acquiring = false;
  }

  /** Renews or acquires the lease if it is due, and detects that the lease has expired. */
  public List<LeaseEffect> tick(long nowMillis) {
    if (leader && !isLeader(nowMillis)) {
      loseLease("not renewed in time; check that this host reaches the store");
    }
    if (pendingCallMillis >= 0) {
      return drainEffects();
    }
    if (releaseDue) {
      continueRelease(nowMillis);
    } else if (leader && nowMillis >= nextRenewMillis && writeInDoubt) {
      read(nowMillis);
    } else if (leader && nowMillis >= nextRenewMillis) {
      write(nowMillis, row(newExpiryStoreMillis(nowMillis)));
    } else if (!leader && acquiring && nowMillis >= nextAcquireMillis) {
      read(nowMillis);
    }
    return drainEffects();
  }

  /**
   * Releases the lease, so that another host can acquire it immediately. This host never acquires
   * it again, not even by a write that is under way.
   *
   * <p>{@link LeaseEffect.HandedOver} follows once the row of this host has certainly expired.
   */
  public List<LeaseEffect> release(long nowMillis) {
    if (releasing) {
      return drainEffects();
    }
    releasing = true;
    acquiring = false;
    // The outcome of a write that is under way may stay unknown.
    termAbandoned = true;
    releaseDue = leader || pendingWrite || writeInDoubt;
    if (leader) {
      loseLease("this host is stopping");
    }
    if (pendingCallMillis < 0) {
      continueRelease(nowMillis);
    }
    return drainEffects();
  }

  /** Makes the next call to the store that the release needs, unless it must wait for a retry. */
  private void continueRelease(long nowMillis) {
    if (!releaseDue || nowMillis < nextReleaseMillis) {
      return;
    }
    if (writeInDoubt) {
      read(nowMillis);
    } else {
      handingOver = true;
      write(nowMillis, expiredRow(nowMillis));
    }
  }

  /**
   * Releases the lease in favour of a host with more capacity; does nothing while a call to the
   * store is pending or the outcome of a write is unknown.
   *
   * <p>{@link LeaseEffect.HandedOver} follows once the row is written. If the write fails, the
   * lease expires as it does after a crash of this host.
   */
  public List<LeaseEffect> handOver(long nowMillis) {
    if (isLeader(nowMillis) && pendingCallMillis < 0 && !writeInDoubt) {
      loseLease("a stronger host is to coordinate");
      handingOver = true;
      // If its outcome stays unknown, this write may still expire the row at any later time, so the
      // term must not be used again.
      termAbandoned = true;
      write(nowMillis, expiredRow(nowMillis));
    }
    return drainEffects();
  }

  private LeaseRow row(long expiryStoreMillis) {
    return new LeaseRow(term, self, address, expiryStoreMillis, bestCapacity, fleetSize);
  }

  /** Returns a row of this term that has certainly expired on the store's clock. */
  private LeaseRow expiredRow(long nowMillis) {
    return row(storeClock.earliestMillis(nowMillis) - 1);
  }

  /** Handles the result of {@link LeaseEffect.Read}. */
  public List<LeaseEffect> readCompleted(long nowMillis, LeaseRead read) {
    long requestMillis = pendingCallMillis;
    pendingCallMillis = -1;
    if (requestMillis < 0) {
      return drainEffects();
    }
    if (read.version().era() < version.era()) {
      readFailed(nowMillis);
      return drainEffects();
    }
    writeInDoubt = false;
    read.row().map(LeaseRow::fleetSize).ifPresent(this::updateFleetSize);
    if (releaseDue) {
      releaseRead(nowMillis, requestMillis, read);
      return drainEffects();
    }
    Optional<LeaseRow> ownRow =
        read.row()
            .filter(row -> !read.outdated())
            .filter(this::isOwnRow)
            .filter(row -> leader || row.validUntilStoreMillis() > read.storeMillis())
            .filter(row -> !termAbandoned);
    if (ownRow.isPresent()) {
      version = read.version();
      applyOwnRow(nowMillis, requestMillis, read.storeMillis(), ownRow.get());
    } else if (leader && read.outdated() && isLeader(nowMillis)) {
      version = read.version();
      updateTerm(read);
      write(nowMillis, row(newExpiryStoreMillis(nowMillis)));
    } else if (leader) {
      loseLease("another host acquired the lease");
    } else if (acquiring) {
      version = read.version();
      acquireIfExpired(nowMillis, requestMillis, read);
    }
    return drainEffects();
  }

  /** Goes on with the release after a read that resolved which row is stored. */
  private void releaseRead(long nowMillis, long requestMillis, LeaseRead read) {
    version = read.version();
    boolean held =
        read.row()
            .filter(row -> !read.outdated())
            .filter(this::isOwnRow)
            .filter(row -> row.validUntilStoreMillis() >= read.storeMillis())
            .isPresent();
    if (held) {
      storeClock.observed(requestMillis, nowMillis, read.storeMillis());
      continueRelease(nowMillis);
    } else {
      released();
    }
  }

  private void released() {
    releaseDue = false;
    effects.add(new LeaseEffect.HandedOver(term));
  }

  private boolean isOwnRow(LeaseRow row) {
    return row.holder().equals(self) && row.term() == term && row.address().equals(address);
  }

  private void acquireIfExpired(long nowMillis, long requestMillis, LeaseRead read) {
    storeClock.observed(requestMillis, nowMillis, read.storeMillis());
    long remainingMillis = remainingMillis(read);
    if (releasing) {
      lookForHolder(nowMillis, read, remainingMillis);
      return;
    }
    if (remainingMillis < 0 && remainingMillis + acquireDelayMillis >= 0) {
      long pollMillis =
          Math.min(remainingMillis + acquireDelayMillis + 1, ACQUIRE_DELAY_POLL_MILLIS);
      nextAcquireMillis = nowMillis + pollMillis + random.nextInt(ACQUIRE_JITTER_MILLIS);
      return;
    }
    if (remainingMillis >= 0 && read.outdated()) {
      long pollMillis = Math.min(remainingMillis + 1, OUTDATED_POLL_MILLIS);
      nextAcquireMillis = nowMillis + pollMillis + random.nextInt(ACQUIRE_JITTER_MILLIS);
      return;
    }
    if (remainingMillis >= 0) {
      nextAcquireMillis = nowMillis + remainingMillis + 1 + random.nextInt(ACQUIRE_JITTER_MILLIS);
      effects.add(new LeaseEffect.HeldByOther(read.row().orElseThrow()));
      return;
    }
    termAbandoned = false;
    term = Math.max(term, read.row().map(LeaseRow::term).orElse(0L)) + 1;
    updateTerm(read);
    write(nowMillis, row(newExpiryStoreMillis(nowMillis)));
  }

  private void lookForHolder(long nowMillis, LeaseRead read, long remainingMillis) {
    nextAcquireMillis =
        nowMillis + ACQUIRE_DELAY_POLL_MILLIS + random.nextInt(ACQUIRE_JITTER_MILLIS);
    if (remainingMillis >= 0 && !read.outdated()) {
      effects.add(new LeaseEffect.HeldByOther(read.row().orElseThrow()));
    }
  }

  /** Returns the time until the lease may be acquired, in milliseconds; negative if it has come. */
  private long remainingMillis(LeaseRead read) {
    if (!read.outdated()) {
      return read.row()
          .map(row -> row.validUntilStoreMillis() - read.storeMillis())
          .orElse(-1L - acquireDelayMillis);
    }
    if (!read.version().equals(outdatedVersion)) {
      outdatedVersion = read.version();
      outdatedSinceStoreMillis = read.storeMillis();
    }
    return outdatedSinceStoreMillis + OUTDATED_ROW_MILLIS - read.storeMillis();
  }

  /** Makes the term one of the store's era; the rows of earlier terms of this era may be lost. */
  private void updateTerm(LeaseRead read) {
    if (read.outdated()) {
      term = Math.max(term, EraNumber.firstAfter(read.version()));
    }
  }

  /** Updates the lease from a row of this host that is in the store. */
  private void applyOwnRow(
      long nowMillis, long requestMillis, long responseStoreMillis, LeaseRow row) {
    storeClock.observed(requestMillis, nowMillis, responseStoreMillis);
    // If the row is lost, its expiry is unknown, so that it must have a limit.
    validUntilStoreMillis =
        Math.min(
            row.validUntilStoreMillis(),
            responseStoreMillis + LEASE_DURATION_MILLIS + MAX_TRANSIT_MILLIS);
    nextRenewMillis = requestMillis + RENEW_INTERVAL_MILLIS;
    if (!leader
        && storeClock.latestMillis(requestMillis) < validUntilStoreMillis - EXPIRY_MARGIN_MILLIS) {
      leader = true;
      acquiring = false;
      heldTerm = term;
      effects.add(new LeaseEffect.Won(term));
    } else if (leader && heldTerm != term) {
      heldTerm = term;
      effects.add(new LeaseEffect.Continued(term));
    }
  }

  /** Handles a failed {@link LeaseEffect.Read}. */
  public void readFailed(long nowMillis) {
    pendingCallMillis = -1;
    nextRenewMillis = nowMillis + RENEW_RETRY_MILLIS;
    nextReleaseMillis = nowMillis + RELEASE_RETRY_MILLIS;
    nextAcquireMillis = nowMillis + ACQUIRE_RETRY_MILLIS + random.nextInt(ACQUIRE_JITTER_MILLIS);
  }

  /** Handles the result of {@link LeaseEffect.Write}. */
  public List<LeaseEffect> writeCompleted(long nowMillis, LeaseWrite result) {
    if (pendingCallMillis < 0) {
      return drainEffects();
    }
    long requestMillis = pendingCallMillis;
    pendingCallMillis = -1;
    pendingWrite = false;
    // A write that was applied in another era may be lost, or may have replaced another row.
    if (result instanceof LeaseWrite.Written written && written.version().era() == version.era()) {
      applyWrite(nowMillis, requestMillis, written);
    } else {
      handingOver = false;
      // The write may have been applied even without a response; the next read resolves it.
      writeInDoubt = !(result instanceof LeaseWrite.NotApplied);
      nextRenewMillis = nowMillis + RENEW_RETRY_MILLIS;
      nextReleaseMillis = nowMillis + RELEASE_RETRY_MILLIS;
      nextAcquireMillis = nowMillis + random.nextInt(ACQUIRE_JITTER_MILLIS);
    }
    continueRelease(nowMillis);
    return drainEffects();
  }

  private void applyWrite(long nowMillis, long requestMillis, LeaseWrite.Written written) {
    version = written.version();
    if (handingOver) {
      handingOver = false;
      released();
    } else if (!releasing) {
      applyOwnRow(nowMillis, requestMillis, written.storeMillis(), pendingRow);
    }
  }

  private void read(long nowMillis) {
    pendingCallMillis = nowMillis;
    effects.add(new LeaseEffect.Read());
  }

  private void write(long nowMillis, LeaseRow row) {
    pendingCallMillis = nowMillis;
    pendingWrite = true;
    pendingRow = row;
    effects.add(new LeaseEffect.Write(row, version));
  }

  private void loseLease(String reason) {
    leader = false;
    effects.add(new LeaseEffect.Lost(term, reason));
  }

  private long newExpiryStoreMillis(long nowMillis) {
    return storeClock.latestMillis(nowMillis) + LEASE_DURATION_MILLIS;
  }

  private List<LeaseEffect> drainEffects() {
    List<LeaseEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
