package dev.hornbeamwheel.core.host.lease;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.model.HostId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Takes, renews and gives up the coordinator's lease.
 *
 * <p>The end of the lease is a time on the store's clock. A challenger takes over only when an
 * answer of the store carries a later time. The holder counts its lease as lapsed earlier than
 * that: it adds the time since it <em>asked</em> to the time in the answer, which is never behind
 * the store's clock. So no two hosts hold the lease at one instant. Times come from a clock that
 * also counts the time for which the process was suspended.
 */
public final class CoordinatorLease {
  /** Length of the lease, in milliseconds. */
  public static final long LEASE_DURATION_MILLIS = 1_600;

  /** Time between two renewals, in milliseconds. */
  static final long RENEW_INTERVAL_MILLIS = 500;

  /** How much earlier than the store the holder counts its lease as lapsed, in milliseconds. */
  static final long EXPIRY_MARGIN_MILLIS = 100;

  /** Pause after a failed renewal, in milliseconds. */
  private static final long RENEW_RETRY_MILLIS = 100;

  /** Greatest random delay before a challenge, so that hosts rarely collide, in milliseconds. */
  private static final int ACQUIRE_JITTER_MILLIS = 150;

  /** Pause between two challenges while the store fails or another host holds the lease. */
  private static final long ACQUIRE_RETRY_MILLIS = 700;

  /** A host that yields to others looks so often whether one took over, in milliseconds. */
  private static final long ACQUIRE_DELAY_POLL_MILLIS = 200;

  private final HostId self;
  private final Address address;
  private final Random random;
  private final List<LeaseEffect> pendingEffects = new ArrayList<>();

  private boolean isLeader;
  private boolean releasing;
  private long term;
  private long version;
  private long validUntilStoreMillis;
  private long storeMillis;
  private long storeRequestMillis;
  private long storeResponseMillis;
  private long pendingCallMillis = -1;
  private boolean writeInDoubt;
  private LeaseRow pendingRow;
  private long nextRenewMillis;
  private boolean handingOver;
  private boolean termAbandoned;
  private boolean acquiring;
  private long acquireDelayMillis;
  private HostCapacity bestCapacity = HostCapacity.unknown();
  private long nextAcquireMillis;

  private CoordinatorLease(HostId self, Address address, long seed) {
    this.self = self;
    this.address = address;
    this.random = new Random(seed);
  }

  /**
   * Returns a lease that this host does not hold.
   *
   * @param self this host
   * @param address where other hosts reach it
   * @param seed seed of the random delays
   */
  public static CoordinatorLease create(HostId self, Address address, long seed) {
    return new CoordinatorLease(self, address, seed);
  }

  /** Returns whether this host surely holds the lease now. */
  public boolean isLeader(long nowMillis) {
    return isLeader && latestStoreMillis(nowMillis) < validUntilStoreMillis - EXPIRY_MARGIN_MILLIS;
  }

  /** Returns whether the lease was not renewed when it was due, so that the store may be away. */
  public boolean renewalOverdue(long nowMillis) {
    return isLeader
        && nowMillis - storeRequestMillis > RENEW_INTERVAL_MILLIS + RENEW_INTERVAL_MILLIS / 2;
  }

  /** Returns the number of the latest term of this host. */
  public long term() {
    return term;
  }

  /** Asks to take the lease over as soon as it has lapsed; called while no coordinator is heard. */
  public List<LeaseEffect> acquire(long nowMillis) {
    return acquire(nowMillis, 0);
  }

  /**
   * The same for a host that leaves the lease to others for a time after it has lapsed.
   *
   * @param yield length of that time, in milliseconds
   */
  public List<LeaseEffect> acquire(long nowMillis, long yield) {
    updateAcquireDelay(yield);
    if (!acquiring && !isLeader && !releasing) {
      acquiring = true;
      nextAcquireMillis =
          Math.max(nextAcquireMillis, nowMillis + random.nextInt(ACQUIRE_JITTER_MILLIS));
    }
    return drainEffects();
  }

  /** Notes the greatest capacity of a host, for those that start later to read in the row. */
  public void updateBestCapacity(HostCapacity capacity) {
    bestCapacity = capacity;
  }

  /** Changes how long after its end this host leaves the lease to others, in milliseconds. */
  public void updateAcquireDelay(long millis) {
    acquireDelayMillis = millis;
  }

  /** Ends a challenge, since a coordinator was heard. */
  public void cancelAcquire() {
    acquiring = false;
  }

  /** Renews, challenges or gives up what is due. */
  public List<LeaseEffect> tick(long nowMillis) {
    if (isLeader && !isLeader(nowMillis)) {
      loseLease("not renewed in time; check that this host reaches the store");
    }
    if (pendingCallMillis >= 0) {
      return drainEffects();
    }
    if (isLeader && nowMillis >= nextRenewMillis && writeInDoubt) {
      pendingCallMillis = nowMillis;
      pendingEffects.add(new LeaseEffect.Read());
    } else if (isLeader && nowMillis >= nextRenewMillis) {
      write(nowMillis, row(newExpiryStoreMillis(nowMillis)));
    } else if (!isLeader && acquiring && nowMillis >= nextAcquireMillis) {
      pendingCallMillis = nowMillis;
      pendingEffects.add(new LeaseEffect.Read());
    }
    return drainEffects();
  }

  /** Gives the lease up, so that another host may take it at once. */
  public List<LeaseEffect> release(long nowMillis) {
    releasing = true;
    acquiring = false;
    if (isLeader) {
      loseLease("this host is stopping");
      write(nowMillis, expiredRow(nowMillis));
    }
    return drainEffects();
  }

  /**
   * Gives the lease up for a stronger host; nothing happens while a call to the store is open.
   *
   * <p>{@link LeaseEffect.HandedOver} follows when the row says so. If the write fails, the lease
   * lapses as if this host were lost.
   */
  public List<LeaseEffect> handOver(long nowMillis) {
    if (isLeader(nowMillis) && pendingCallMillis < 0 && !writeInDoubt) {
      loseLease("a stronger host is to coordinate");
      handingOver = true;
      // A write in doubt may end the row late: this term can never be counted on again.
      termAbandoned = true;
      write(nowMillis, expiredRow(nowMillis));
    }
    return drainEffects();
  }

  private LeaseRow row(long validUntilStoreMillis) {
    return new LeaseRow(term, self, address, validUntilStoreMillis, bestCapacity);
  }

  /** Returns the row of this term with an end that has surely passed on the store's clock. */
  private LeaseRow expiredRow(long nowMillis) {
    long surelyPassed = storeMillis + nowMillis - storeResponseMillis;
    return row(surelyPassed - 1);
  }

  /** Takes the answer to {@link LeaseEffect.Read}. */
  public List<LeaseEffect> readCompleted(long nowMillis, LeaseRead read) {
    long askedMillis = pendingCallMillis;
    pendingCallMillis = -1;
    if (askedMillis < 0 || releasing) {
      return drainEffects();
    }
    writeInDoubt = false;
    Optional<LeaseRow> own =
        read.row()
            .filter(this::isOwnRow)
            .filter(row -> isLeader || row.validUntilStoreMillis() > read.storeMillis())
            .filter(row -> !termAbandoned);
    if (own.isPresent()) {
      version = read.version();
      applyOwnRow(nowMillis, askedMillis, read.storeMillis(), own.get());
    } else if (isLeader) {
      loseLease("another host took the lease over");
    } else if (acquiring) {
      version = read.version();
      acquireIfExpired(nowMillis, askedMillis, read);
    }
    return drainEffects();
  }

  private boolean isOwnRow(LeaseRow row) {
    return row.holder().equals(self) && row.term() == term && row.address().equals(address);
  }

  private void acquireIfExpired(long nowMillis, long askedMillis, LeaseRead read) {
    storeMillis = read.storeMillis();
    storeRequestMillis = askedMillis;
    storeResponseMillis = nowMillis;
    long left =
        read.row()
            .map(row -> row.validUntilStoreMillis() - read.storeMillis())
            .orElse(-1L - acquireDelayMillis);
    if (left < 0 && left + acquireDelayMillis >= 0) {
      long look = Math.min(left + acquireDelayMillis + 1, ACQUIRE_DELAY_POLL_MILLIS);
      nextAcquireMillis = nowMillis + look + random.nextInt(ACQUIRE_JITTER_MILLIS);
      return;
    }
    if (left >= 0) {
      nextAcquireMillis = nowMillis + left + 1 + random.nextInt(ACQUIRE_JITTER_MILLIS);
      pendingEffects.add(new LeaseEffect.HeldByOther(read.row().orElseThrow()));
      return;
    }
    termAbandoned = false;
    term = Math.max(term, read.row().map(LeaseRow::term).orElse(0L)) + 1;
    write(nowMillis, row(newExpiryStoreMillis(nowMillis)));
  }

  /** Counts on a row of this host that lies in the store. */
  private void applyOwnRow(
      long nowMillis, long askedMillis, long answeredStoreMillis, LeaseRow row) {
    storeMillis = answeredStoreMillis;
    storeRequestMillis = askedMillis;
    storeResponseMillis = nowMillis;
    validUntilStoreMillis = row.validUntilStoreMillis();
    nextRenewMillis = askedMillis + RENEW_INTERVAL_MILLIS;
    if (!isLeader
        && latestStoreMillis(askedMillis) < validUntilStoreMillis - EXPIRY_MARGIN_MILLIS) {
      isLeader = true;
      acquiring = false;
      pendingEffects.add(new LeaseEffect.Won(term));
    }
  }

  /** Records that the row could not be read. */
  public void readFailed(long nowMillis) {
    pendingCallMillis = -1;
    nextRenewMillis = nowMillis + RENEW_RETRY_MILLIS;
    nextAcquireMillis = nowMillis + ACQUIRE_RETRY_MILLIS + random.nextInt(ACQUIRE_JITTER_MILLIS);
  }

  /** Takes the answer to {@link LeaseEffect.Write}. */
  public List<LeaseEffect> writeCompleted(long nowMillis, LeaseWrite result) {
    if (pendingCallMillis < 0) {
      return drainEffects();
    }
    long askedMillis = pendingCallMillis;
    pendingCallMillis = -1;
    if (result instanceof LeaseWrite.Written written) {
      applyWrite(nowMillis, askedMillis, written);
    } else {
      handingOver = false;
      // A write whose answer was lost may have changed the row, too: the next reading tells.
      writeInDoubt = !(result instanceof LeaseWrite.NotApplied);
      nextRenewMillis = nowMillis + RENEW_RETRY_MILLIS;
      nextAcquireMillis = nowMillis + random.nextInt(ACQUIRE_JITTER_MILLIS);
    }
    return drainEffects();
  }

  private void applyWrite(long nowMillis, long askedMillis, LeaseWrite.Written written) {
    version = written.version();
    if (handingOver) {
      handingOver = false;
      pendingEffects.add(new LeaseEffect.HandedOver(term));
    } else if (!releasing) {
      applyOwnRow(nowMillis, askedMillis, written.storeMillis(), pendingRow);
    }
  }

  private void write(long nowMillis, LeaseRow row) {
    pendingCallMillis = nowMillis;
    pendingRow = row;
    pendingEffects.add(new LeaseEffect.Write(row, version));
  }

  private void loseLease(String reason) {
    isLeader = false;
    pendingEffects.add(new LeaseEffect.Lost(term, reason));
  }

  private long latestStoreMillis(long nowMillis) {
    return storeMillis + nowMillis - storeRequestMillis;
  }

  private long newExpiryStoreMillis(long nowMillis) {
    return latestStoreMillis(nowMillis) + LEASE_DURATION_MILLIS;
  }

  private List<LeaseEffect> drainEffects() {
    List<LeaseEffect> effects = List.copyOf(pendingEffects);
    pendingEffects.clear();
    return effects;
  }
}
