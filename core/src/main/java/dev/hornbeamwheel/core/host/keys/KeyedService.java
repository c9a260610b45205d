package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.catalog.UpstreamLife;
import dev.hornbeamwheel.core.host.keys.OwnedRange.Phase;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The owners of the keys of one service during one term of the coordinator.
 *
 * <p>A change is written to the store first. Then the owner before is asked to release the keys,
 * and the new owner gets its grant when the release is answered, or when the old grant has surely
 * run out. A later start at the old owner's address is asked to release, too: the last renewal may
 * have reached it.
 */
public final class KeyedService {
  /** Hold of a grant while all is well, in milliseconds. */
  static final long HOLD_MILLIS = 3_000;

  /** Hold of a grant that only asks whether a silent upstream is back, in milliseconds. */
  private static final long PROBE_HOLD_MILLIS = 500;

  /** Time between two renewals of a range, in milliseconds. */
  static final long RENEW_MILLIS = 750;

  /** Orders to one upstream that may be open at once; each needs a connection. */
  private static final int MAX_OPEN_ORDERS = 2;

  /** A grant that is held up in this process for longer is not sent, in milliseconds. */
  private static final long SEND_MILLIS = 250;

  /** Pause after a failed order, in milliseconds. */
  private static final long ORDER_RETRY_MILLIS = 250;

  /** Keys get their first owners when no upstream has joined for so long, in milliseconds. */
  static final long FIRST_OWNERS_MILLIS = 1_500;

  /** Time that a hand-over usually takes, in milliseconds. */
  private static final long HAND_OVER_MILLIS = 150;

  /** Time between two looks at where keys belong, in milliseconds. */
  static final long PLAN_MILLIS = 200;

  /** Pause before a table is read or written again after a failure, in milliseconds. */
  private static final long STORE_RETRY_MILLIS = 200;

  private final ServiceId service;
  private final Catalog catalog;
  private final Capacity capacity;
  private final long holdMaxMillis;
  private final KeyDemand demand;
  private final UpstreamContact contact = new UpstreamContact();
  private final KeyNotes notes;
  private final CutOffDataCentres cutOff;
  private final OwnerFitness fitness;
  private final OpenOrders orders = new OpenOrders();
  private final List<KeyEffect> out = new ArrayList<>();

  private OwnedRanges ranges = OwnedRanges.none();
  private TableProposal proposed = TableProposal.none();
  private boolean loaded;
  private boolean storeBusy;
  private long version;
  private long nextFence = 1;
  private GrantClock inherited = GrantClock.neverGranted();
  private long storeDueMillis;
  private long planDueMillis;
  private int joined;
  private long joinedMillis;
  private long nextOrder = 1;
  private boolean unsettled;
  private long revision;

  private KeyedService(
      ServiceId service, Catalog catalog, Capacity capacity, KeyDemand demand, long holdMaxMillis) {
    this.service = service;
    this.notes = new KeyNotes(service);
    this.catalog = catalog;
    this.capacity = capacity;
    this.demand = demand;
    this.holdMaxMillis = holdMaxMillis;
    this.cutOff = new CutOffDataCentres(catalog);
    this.fitness = new OwnerFitness(catalog, contact, cutOff);
  }

  /**
   * Returns the owners of a service at the start of a term; nothing is known before the table has
   * been read.
   *
   * @param holdMaxMillis longest hold that upstreams accept, in milliseconds
   */
  public static KeyedService startTerm(
      long nowMillis,
      ServiceId service,
      Catalog catalog,
      Capacity capacity,
      KeyDemand demand,
      long holdMaxMillis) {
    KeyedService started = new KeyedService(service, catalog, capacity, demand, holdMaxMillis);
    long sentUntil = nowMillis + SEND_MILLIS;
    started.inherited =
        GrantClock.grantedUntil(
            GrantClock.longest(sentUntil, holdMaxMillis), GrantClock.lastArrival(sentUntil));
    return started;
  }

  /** Returns a number that grows whenever {@link #owners()} may have changed. */
  public long revision() {
    return revision;
  }

  /** Returns whether no keys are about to change their owner. */
  public boolean settled() {
    return loaded && !storeBusy && ranges.stream().allMatch(range -> range.phase() == Phase.HELD);
  }

  /** Returns whether the table has been read in this term. */
  public boolean loaded() {
    return loaded;
  }

  /**
   * Returns the owner that surely holds a key, or empty while the key changes its owner or the
   * owner's grant has not been confirmed in this term.
   */
  public Optional<UpstreamId> holder(long nowMillis, int key) {
    return ranges
        .at(key)
        .filter(range -> range.surelyHeld(nowMillis))
        .map(range -> range.assignment().owner())
        .filter(owner -> !catalog.ended(owner.life(), owner.address()))
        .map(owner -> owner.life().id());
  }

  /** Returns the upstream to which a key is assigned, whether or not it holds it yet. */
  public Optional<UpstreamId> owner(int key) {
    return ranges.at(key).map(range -> range.assignment().owner().life().id());
  }

  /** Returns the fencing token of a key's owner; zero if there is none. */
  public long fence(int key) {
    return ranges.at(key).map(range -> range.assignment().owner().fence()).orElse(0L);
  }

  /** Returns when a key will probably have a holder; {@code nowMillis} if it has one. */
  public long readyMillis(long nowMillis, int key) {
    return ranges
        .at(key)
        .map(range -> readyMillis(nowMillis, range))
        .orElse(nowMillis + HAND_OVER_MILLIS);
  }

  private long readyMillis(long nowMillis, OwnedRange range) {
    if (range.surelyHeld(nowMillis)) {
      return nowMillis;
    }
    long soon = nowMillis + HAND_OVER_MILLIS;
    if (range.phase() == Phase.HELD) {
      boolean lost = contact.suspect(nowMillis, range.assignment().owner().life());
      return lost ? Math.max(soon, range.owner().endsBy()) : soon;
    }
    boolean silent =
        range.phase() == Phase.RELEASING
            && range
                .assignment()
                .previous()
                .filter(previous -> contact.suspect(nowMillis, previous.life()))
                .isPresent();
    return silent ? Math.max(soon, range.previous().endsBy()) : soon;
  }

  /** Returns all assignments, sorted by range. */
  public List<KeyAssignment> owners() {
    return ranges.stream().map(OwnedRange::assignment).toList();
  }

  /**
   * Sends what is due.
   *
   * @param storeDoubtful whether the store may be away, so that holds are to last long
   */
  public List<KeyEffect> tick(long nowMillis, boolean storeDoubtful) {
    demand.advance(nowMillis);
    if (!loaded) {
      readTable(nowMillis);
      return drain();
    }
    List<KeyOwner> owners = ranges.stream().map(r -> r.assignment().owner()).toList();
    cutOff.note(nowMillis, owners, contact);
    ranges.all().forEach(range -> advance(nowMillis, range, storeDoubtful));
    if (!storeBusy && nowMillis >= storeDueMillis && nowMillis >= planDueMillis) {
      planDueMillis = nowMillis + PLAN_MILLIS;
      plan(nowMillis);
    }
    return drain();
  }

  /** Makes the next tick look at where keys belong, since upstreams changed. */
  public void upstreamsChanged() {
    planDueMillis = 0;
  }

  /** Takes the answer to {@link KeyEffect.ReadTable}. */
  public List<KeyEffect> tableRead(long nowMillis, TableRead result) {
    storeBusy = false;
    if (result instanceof TableRead.Found found) {
      adopt(nowMillis, found);
    } else {
      storeDueMillis = nowMillis + STORE_RETRY_MILLIS;
    }
    return drain();
  }

  /** Takes the answer to {@link KeyEffect.WriteTable}. */
  public List<KeyEffect> tableWritten(long nowMillis, TableWrite result) {
    storeBusy = false;
    if (result instanceof TableWrite.Written written) {
      version = written.version();
      nextFence = proposed.table().nextFence();
      unsettled = false;
      ranges = OwnedRanges.of(proposed.apply());
      orders.follow(ranges.stream());
      revision++;
    } else if (result instanceof TableWrite.Unsettled) {
      storeDueMillis = nowMillis + STORE_RETRY_MILLIS;
      storeBusy = true;
      out.add(new KeyEffect.ReadTable(service));
    } else {
      storeDueMillis = nowMillis + STORE_RETRY_MILLIS;
    }
    return drain();
  }

  /** Takes the answer to an order. */
  public List<KeyEffect> orderEnded(long nowMillis, long order, OrderResult result) {
    settleClocks(nowMillis, order, result);
    Optional<OwnedRange> open = orders.remove(order).filter(range -> range.awaits(order));
    if (open.isEmpty()) {
      return drain();
    }
    OwnedRange range = open.get();
    if (range.phase() == Phase.RELEASING) {
      releaseEnded(nowMillis, range, result);
    } else {
      grantEnded(nowMillis, order, range, result);
    }
    return drain();
  }

  /** Tells each clock on which a grant is open, as the range may have been split meanwhile. */
  private void settleClocks(long nowMillis, long order, OrderResult result) {
    orders
        .clocks(order)
        .forEach(
            clock -> {
              if (result instanceof OrderResult.Done) {
                clock.answered(nowMillis, order);
              } else if (result instanceof OrderResult.Unanswered) {
                clock.unanswered(nowMillis, order);
              } else {
                clock.refused(order);
              }
            });
  }

  private void readTable(long nowMillis) {
    if (!storeBusy && nowMillis >= storeDueMillis) {
      storeBusy = true;
      out.add(new KeyEffect.ReadTable(service));
    }
  }

  /** Adopts a table that was read: at the start of the term, or after a write in doubt. */
  private void adopt(long nowMillis, TableRead.Found found) {
    if (loaded && found.version() == version) {
      return;
    }
    KeyTable table = found.table().orElseGet(KeyTable::empty);
    version = found.version();
    nextFence = table.nextFence();
    Map<KeyAssignment, OwnedRange> known =
        ranges.stream()
            .collect(Collectors.toMap(OwnedRange::assignment, range -> range, (a, b) -> a));
    // A table that another coordinator wrote late may name owners that were renewed meanwhile.
    GrantClock granted =
        loaded
            ? GrantClock.grantedUntil(
                GrantClock.longest(nowMillis, holdMaxMillis), GrantClock.lastArrival(nowMillis))
            : inherited;
    if (loaded && proposed.table().equals(table)) {
      ranges = OwnedRanges.of(proposed.apply());
    } else {
      ranges =
          OwnedRanges.of(
              table.assignments().stream()
                  .map(
                      assignment ->
                          known.getOrDefault(assignment, OwnedRange.inherited(assignment, granted)))
                  .toList());
    }
    orders.follow(ranges.stream());
    loaded = true;
    revision++;
    note("keys-loaded", "version " + version, ranges.all().size() + " ranges");
  }

  private void advance(long nowMillis, OwnedRange range, boolean storeDoubtful) {
    if (range.phase() == Phase.RELEASING) {
      release(nowMillis, range);
    }
    if (range.phase() != Phase.RELEASING
        && range.idle(nowMillis)
        && orders.at(range.assignment().owner().life()) < MAX_OPEN_ORDERS) {
      grant(nowMillis, range, storeDoubtful);
    }
  }

  private void release(long nowMillis, OwnedRange range) {
    KeyOwner previous = range.assignment().previous().orElseThrow();
    boolean ended = catalog.ended(previous.life(), previous.address());
    if (range.previous().ended(nowMillis)
        || (range.released() && (ended || nowMillis > range.previous().unansweredUntil()))) {
      out.add(notes.free(nowMillis, range, ended));
      range.nobodyHolds();
      return;
    }
    // A grant that is still open could arrive after the release.
    if (range.released() || range.previous().waiting(nowMillis) || !range.idle(nowMillis)) {
      return;
    }
    long order = order(range, false);
    out.add(
        new KeyEffect.Release(
            order, previous.life().id(), previous.address(), range.range(), previous.fence()));
  }

  private void releaseEnded(long nowMillis, OwnedRange range, OrderResult result) {
    KeyOwner previous = range.assignment().previous().orElseThrow();
    range.orderEnded(nowMillis + ORDER_RETRY_MILLIS);
    if (result instanceof OrderResult.Done done) {
      range.releasedWith(done.handover());
      release(nowMillis, range);
    } else if (result instanceof OrderResult.Misdirected) {
      out.add(notes.failed(nowMillis, "release", range, previous, result));
      range.releasedWith(Optional.empty());
      release(nowMillis, range);
    } else {
      out.add(notes.failed(nowMillis, "release", range, previous, result));
    }
  }

  private void grant(long nowMillis, OwnedRange range, boolean storeDoubtful) {
    KeyOwner owner = range.assignment().owner();
    if (range.fenced() || catalog.ended(owner.life(), owner.address())) {
      return;
    }
    long hold = storeDoubtful ? holdMaxMillis : Math.min(HOLD_MILLIS, holdMaxMillis);
    if (contact.silent(owner.life()) && !cutOff.contains(owner)) {
      // Longer holds would keep the keys of a lost upstream from others.
      hold = PROBE_HOLD_MILLIS;
      if (GrantClock.longest(nowMillis, hold) > range.owner().endsBy()) {
        return;
      }
    }
    contact.asked(nowMillis, owner.life());
    long order = order(range, true);
    range.owner().sent(nowMillis, order, hold);
    out.add(
        new KeyEffect.Grant(
            order,
            owner.life().id(),
            owner.address(),
            range.range(),
            owner.fence(),
            hold,
            range.handover(),
            nowMillis + SEND_MILLIS));
  }

  private void grantEnded(long nowMillis, long order, OwnedRange range, OrderResult result) {
    UpstreamLife life = range.assignment().owner().life();
    if (result instanceof OrderResult.Done) {
      range.owner().answered(nowMillis, order);
      boolean probed = contact.silent(life);
      contact.answered(nowMillis, life);
      range.orderEnded(probed ? nowMillis : nowMillis + RENEW_MILLIS);
      if (range.phase() == Phase.GRANTING) {
        range.held();
        out.add(notes.granted(nowMillis, range));
        unsettled |= range.assignment().previous().isPresent();
        revision++;
      }
      return;
    }
    range.orderEnded(nowMillis + ORDER_RETRY_MILLIS);
    out.add(notes.failed(nowMillis, "grant", range, range.assignment().owner(), result));
    if (result instanceof OrderResult.Fenced) {
      range.fencedOff();
      note("keys-fenced", life.id() + " " + range.range(), "a greater fence was seen");
    } else {
      contact.failed(life);
    }
  }

  private long order(OwnedRange range, boolean grant) {
    long order = nextOrder++;
    orders.add(order, range, grant);
    range.ordered(order, grant);
    return order;
  }

  private void plan(long nowMillis) {
    List<UpstreamEntry> fit = fitness.fit(nowMillis, service);
    if (fit.isEmpty()) {
      return;
    }
    if (ranges.all().isEmpty()) {
      proposeFirst(nowMillis, fit);
      return;
    }
    List<KeyPlanner.View> views =
        ranges.stream()
            .filter(range -> range.phase() != Phase.RELEASING)
            .filter(range -> range.phase() == Phase.HELD || fitness.orphaned(nowMillis, range))
            .map(
                range ->
                    new KeyPlanner.View(
                        range.range(),
                        range.assignment().owner().life().id(),
                        fitness.orphaned(nowMillis, range)))
            .toList();
    List<KeyMove> moves = KeyPlanner.plan(views, fit, demand, capacity);
    if (!moves.isEmpty() || unsettled) {
      propose(moves);
    }
  }

  private void proposeFirst(long nowMillis, List<UpstreamEntry> fit) {
    if (fit.size() != joined) {
      joined = fit.size();
      joinedMillis = nowMillis;
    }
    if (nowMillis - joinedMillis < FIRST_OWNERS_MILLIS) {
      return;
    }
    proposed = TableProposal.first(KeyPlanner.firstOwners(fit, capacity), nextFence);
    write("keys-first", proposed.size() + " ranges");
  }

  private void propose(List<KeyMove> moves) {
    ranges.stream().filter(range -> range.phase() == Phase.HELD).forEach(OwnedRange::settle);
    proposed = TableProposal.moving(ranges.all(), moves, nextFence);
    moves.forEach(
        move -> note("keys-move", move.range() + " to " + move.target().id(), move.reason()));
    write("keys-write", moves.size() + " moves");
  }

  private void write(String decision, String what) {
    storeBusy = true;
    out.add(new KeyEffect.WriteTable(service, proposed.table(), version));
    note(decision, "version " + version, what);
  }

  private void note(String decision, String subject, String reason) {
    out.add(notes.note(decision, subject, reason));
  }

  private List<KeyEffect> drain() {
    List<KeyEffect> effects = List.copyOf(out);
    out.clear();
    return effects;
  }
}
