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
  public static final long LEASE_MILLIS = 1_600;

  /** Time between two renewals, in milliseconds. */
  static final long RENEW_MILLIS = 500;

  /** How much earlier than the store the holder counts its lease as lapsed, in milliseconds. */
  static final long MARGIN_MILLIS = 100;

  /** Pause after a failed renewal, in milliseconds. */
  private static final long RETRY_MILLIS = 100;

  /** Greatest random delay before a challenge, so that hosts rarely collide, in milliseconds. */
  private static final int CHALLENGE_SPREAD_MILLIS = 150;

  /** Pause between two challenges while the store fails or another host holds the lease. */
  private static final long CHALLENGE_PAUSE_MILLIS = 700;

  /** A host that yields to others looks so often whether one took over, in milliseconds. */
  private static final long YIELD_LOOK_MILLIS = 200;

  private final HostId self;
  private final Address address;
  private final Random random;
  private final List<LeaseEffect> out = new ArrayList<>();

  private boolean leading;
  private boolean givingUp;
  private long term;
  private long version;
  private long validUntilStore;
  private long storeMillis;
  private long storeAskedMillis;
  private long storeAnsweredMillis;
  private long callSentMillis = -1;
  private boolean inDoubt;
  private LeaseRow proposed;
  private long renewDue;
  private boolean handingOver;
  private boolean abandoned;
  private boolean wanted;
  private long yieldMillis;
  private HostCapacity best = HostCapacity.unknown();
  private long challengeDue;

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
  public boolean leading(long nowMillis) {
    return leading && latestStoreMillis(nowMillis) < validUntilStore - MARGIN_MILLIS;
  }

  /** Returns whether the lease was not renewed when it was due, so that the store may be away. */
  public boolean renewalLate(long nowMillis) {
    return leading && nowMillis - storeAskedMillis > RENEW_MILLIS + RENEW_MILLIS / 2;
  }

  /** Returns the number of the latest term of this host. */
  public long term() {
    return term;
  }

  /** Asks to take the lease over as soon as it has lapsed; called while no coordinator is heard. */
  public List<LeaseEffect> challenge(long nowMillis) {
    return challenge(nowMillis, 0);
  }

  /**
   * The same for a host that leaves the lease to others for a time after it has lapsed.
   *
   * @param yield length of that time, in milliseconds
   */
  public List<LeaseEffect> challenge(long nowMillis, long yield) {
    yieldFor(yield);
    if (!wanted && !leading && !givingUp) {
      wanted = true;
      challengeDue = Math.max(challengeDue, nowMillis + random.nextInt(CHALLENGE_SPREAD_MILLIS));
    }
    return drain();
  }

  /** Notes the greatest capacity of a host, for those that start later to read in the row. */
  public void noteBest(HostCapacity capacity) {
    best = capacity;
  }

  /** Changes how long after its end this host leaves the lease to others, in milliseconds. */
  public void yieldFor(long millis) {
    yieldMillis = millis;
  }

  /** Ends a challenge, since a coordinator was heard. */
  public void withdraw() {
    wanted = false;
  }

  /** Renews, challenges or gives up what is due. */
  public List<LeaseEffect> tick(long nowMillis) {
    if (leading && !leading(nowMillis)) {
      lose("not renewed in time; check that this host reaches the store");
    }
    if (callSentMillis >= 0) {
      return drain();
    }
    if (leading && nowMillis >= renewDue && inDoubt) {
      callSentMillis = nowMillis;
      out.add(new LeaseEffect.Read());
    } else if (leading && nowMillis >= renewDue) {
      write(nowMillis, row(validAfter(nowMillis)));
    } else if (!leading && wanted && nowMillis >= challengeDue) {
      callSentMillis = nowMillis;
      out.add(new LeaseEffect.Read());
    }
    return drain();
  }

  /** Gives the lease up, so that another host may take it at once. */
  public List<LeaseEffect> giveUp(long nowMillis) {
    givingUp = true;
    wanted = false;
    if (leading) {
      lose("this host is stopping");
      write(nowMillis, lapsedRow(nowMillis));
    }
    return drain();
  }

  /**
   * Gives the lease up for a stronger host; nothing happens while a call to the store is open.
   *
   * <p>{@link LeaseEffect.HandedOver} follows when the row says so. If the write fails, the lease
   * lapses as if this host were lost.
   */
  public List<LeaseEffect> handOver(long nowMillis) {
    if (leading(nowMillis) && callSentMillis < 0 && !inDoubt) {
      lose("a stronger host is to coordinate");
      handingOver = true;
      // A write in doubt may end the row late: this term can never be counted on again.
      abandoned = true;
      write(nowMillis, lapsedRow(nowMillis));
    }
    return drain();
  }

  private LeaseRow row(long validUntilStoreMillis) {
    return new LeaseRow(term, self, address, validUntilStoreMillis, best);
  }

  /** Returns the row of this term with an end that has surely passed on the store's clock. */
  private LeaseRow lapsedRow(long nowMillis) {
    long surelyPassed = storeMillis + nowMillis - storeAnsweredMillis;
    return row(surelyPassed - 1);
  }

  /** Takes the answer to {@link LeaseEffect.Read}. */
  public List<LeaseEffect> read(long nowMillis, LeaseRead read) {
    long askedMillis = callSentMillis;
    callSentMillis = -1;
    if (askedMillis < 0 || givingUp) {
      return drain();
    }
    inDoubt = false;
    Optional<LeaseRow> own =
        read.row()
            .filter(this::writtenHere)
            .filter(row -> leading || row.validUntilStoreMillis() > read.storeMillis())
            .filter(row -> !abandoned);
    if (own.isPresent()) {
      version = read.version();
      adopt(nowMillis, askedMillis, read.storeMillis(), own.get());
    } else if (leading) {
      lose("another host took the lease over");
    } else if (wanted) {
      version = read.version();
      takeOver(nowMillis, askedMillis, read);
    }
    return drain();
  }

  private boolean writtenHere(LeaseRow row) {
    return row.holder().equals(self) && row.term() == term && row.address().equals(address);
  }

  private void takeOver(long nowMillis, long askedMillis, LeaseRead read) {
    storeMillis = read.storeMillis();
    storeAskedMillis = askedMillis;
    storeAnsweredMillis = nowMillis;
    long left =
        read.row()
            .map(row -> row.validUntilStoreMillis() - read.storeMillis())
            .orElse(-1L - yieldMillis);
    if (left < 0 && left + yieldMillis >= 0) {
      long look = Math.min(left + yieldMillis + 1, YIELD_LOOK_MILLIS);
      challengeDue = nowMillis + look + random.nextInt(CHALLENGE_SPREAD_MILLIS);
      return;
    }
    if (left >= 0) {
      challengeDue = nowMillis + left + 1 + random.nextInt(CHALLENGE_SPREAD_MILLIS);
      out.add(new LeaseEffect.HeldByOther(read.row().orElseThrow()));
      return;
    }
    abandoned = false;
    term = Math.max(term, read.row().map(LeaseRow::term).orElse(0L)) + 1;
    write(nowMillis, row(validAfter(nowMillis)));
  }

  /** Counts on a row of this host that lies in the store. */
  private void adopt(long nowMillis, long askedMillis, long answeredStoreMillis, LeaseRow row) {
    storeMillis = answeredStoreMillis;
    storeAskedMillis = askedMillis;
    storeAnsweredMillis = nowMillis;
    validUntilStore = row.validUntilStoreMillis();
    renewDue = askedMillis + RENEW_MILLIS;
    if (!leading && latestStoreMillis(askedMillis) < validUntilStore - MARGIN_MILLIS) {
      leading = true;
      wanted = false;
      out.add(new LeaseEffect.Won(term));
    }
  }

  /** Records that the row could not be read. */
  public void readFailed(long nowMillis) {
    callSentMillis = -1;
    renewDue = nowMillis + RETRY_MILLIS;
    challengeDue = nowMillis + CHALLENGE_PAUSE_MILLIS + random.nextInt(CHALLENGE_SPREAD_MILLIS);
  }

  /** Takes the answer to {@link LeaseEffect.Write}. */
  public List<LeaseEffect> written(long nowMillis, LeaseWrite result) {
    if (callSentMillis < 0) {
      return drain();
    }
    long askedMillis = callSentMillis;
    callSentMillis = -1;
    if (result instanceof LeaseWrite.Written written) {
      accept(nowMillis, askedMillis, written);
    } else {
      handingOver = false;
      // A write whose answer was lost may have changed the row, too: the next reading tells.
      inDoubt = !(result instanceof LeaseWrite.NotDone);
      renewDue = nowMillis + RETRY_MILLIS;
      challengeDue = nowMillis + random.nextInt(CHALLENGE_SPREAD_MILLIS);
    }
    return drain();
  }

  private void accept(long nowMillis, long askedMillis, LeaseWrite.Written written) {
    version = written.version();
    if (handingOver) {
      handingOver = false;
      out.add(new LeaseEffect.HandedOver(term));
    } else if (!givingUp) {
      adopt(nowMillis, askedMillis, written.storeMillis(), proposed);
    }
  }

  private void write(long nowMillis, LeaseRow row) {
    callSentMillis = nowMillis;
    proposed = row;
    out.add(new LeaseEffect.Write(row, version));
  }

  private void lose(String reason) {
    leading = false;
    out.add(new LeaseEffect.Lost(term, reason));
  }

  private long latestStoreMillis(long nowMillis) {
    return storeMillis + nowMillis - storeAskedMillis;
  }

  private long validAfter(long nowMillis) {
    return latestStoreMillis(nowMillis) + LEASE_MILLIS;
  }

  private List<LeaseEffect> drain() {
    List<LeaseEffect> effects = List.copyOf(out);
    out.clear();
    return effects;
  }
}
