package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
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
  static final long RENEWAL_INTERVAL_MILLIS = 750;

  /** Orders to one upstream that may be open at once; each needs a connection. */
  private static final int MAX_IN_FLIGHT_ORDERS = 2;

  /** A grant that is held up in this process for longer is not sent, in milliseconds. */
  private static final long MAX_SEND_DELAY_MILLIS = 250;

  /** Pause after a failed order, in milliseconds. */
  private static final long ORDER_RETRY_DELAY_MILLIS = 250;

  /** Keys get their first owners when no upstream has joined for so long, in milliseconds. */
  static final long INITIAL_OWNERS_DELAY_MILLIS = 1_500;

  /** Time that a hand-over usually takes, in milliseconds. */
  private static final long TYPICAL_HANDOVER_MILLIS = 150;

  /** Time between two looks at where keys belong, in milliseconds. */
  static final long PLAN_INTERVAL_MILLIS = 200;

  /** Pause before a table is read or written again after a failure, in milliseconds. */
  private static final long STORE_RETRY_DELAY_MILLIS = 200;

  private final ServiceId service;
  private final Catalog catalog;
  private final Capacity capacity;
  private final long holdMaxMillis;
  private final KeyDemand demand;
  private final UpstreamFailureDetector failureDetector = new UpstreamFailureDetector();
  private final KeyDecisionLog decisionLog;
  private final UnreachableDataCentres unreachableDataCentres;
  private final OwnerEligibility eligibility;
  private final InFlightOrders inFlightOrders = new InFlightOrders();
  private final List<KeyEffect> pendingEffects = new ArrayList<>();

  private OwnedRanges ranges = OwnedRanges.empty();
  private TableProposal proposal = TableProposal.empty();
  private boolean loaded;
  private boolean storeCallInFlight;
  private long version;
  private long nextFencingToken = 1;
  private GrantTracker inheritedGrants = GrantTracker.neverGranted();
  private long nextStoreCallMillis;
  private long nextPlanMillis;
  private int eligibleCount;
  private long eligibleCountChangedMillis;
  private long nextOrderId = 1;
  private boolean tableCleanupDue;
  private long revision;

  private KeyedService(
      ServiceId service, Catalog catalog, Capacity capacity, KeyDemand demand, long holdMaxMillis) {
    this.service = service;
    this.decisionLog = new KeyDecisionLog(service);
    this.catalog = catalog;
    this.capacity = capacity;
    this.demand = demand;
    this.holdMaxMillis = holdMaxMillis;
    this.unreachableDataCentres = new UnreachableDataCentres(catalog);
    this.eligibility = new OwnerEligibility(catalog, failureDetector, unreachableDataCentres);
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
    long sentUntil = nowMillis + MAX_SEND_DELAY_MILLIS;
    started.inheritedGrants =
        GrantTracker.grantedUntil(
            GrantTracker.latestExpiryMillis(sentUntil, holdMaxMillis),
            GrantTracker.latestArrivalMillis(sentUntil));
    return started;
  }

  /** Returns a number that grows whenever {@link #assignments()} may have changed. */
  public long revision() {
    return revision;
  }

  /** Returns whether no keys are about to change their owner. */
  public boolean stable() {
    return loaded
        && !storeCallInFlight
        && ranges.stream().allMatch(range -> range.phase() == Phase.HELD);
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
        .find(key)
        .filter(range -> range.hasConfirmedOwner(nowMillis))
        .map(range -> range.assignment().owner())
        .filter(owner -> !catalog.superseded(owner.incarnation(), owner.address()))
        .map(owner -> owner.incarnation().id());
  }

  /** Returns the upstream to which a key is assigned, whether or not it holds it yet. */
  public Optional<UpstreamId> owner(int key) {
    return ranges.find(key).map(range -> range.assignment().owner().incarnation().id());
  }

  /** Returns the fencing token of a key's owner; zero if there is none. */
  public long fencingToken(int key) {
    return ranges.find(key).map(range -> range.assignment().owner().fencingToken()).orElse(0L);
  }

  /** Returns when a key will probably have a holder; {@code nowMillis} if it has one. */
  public long readyMillis(long nowMillis, int key) {
    return ranges
        .find(key)
        .map(range -> readyMillis(nowMillis, range))
        .orElse(nowMillis + TYPICAL_HANDOVER_MILLIS);
  }

  private long readyMillis(long nowMillis, OwnedRange range) {
    if (range.hasConfirmedOwner(nowMillis)) {
      return nowMillis;
    }
    long soon = nowMillis + TYPICAL_HANDOVER_MILLIS;
    if (range.phase() == Phase.HELD) {
      boolean lost = failureDetector.suspected(nowMillis, range.assignment().owner().incarnation());
      return lost ? Math.max(soon, range.ownerGrants().latestExpiryMillis()) : soon;
    }
    boolean silent =
        range.phase() == Phase.RELEASING
            && range
                .assignment()
                .previousOwner()
                .filter(previous -> failureDetector.suspected(nowMillis, previous.incarnation()))
                .isPresent();
    return silent ? Math.max(soon, range.previousOwnerGrants().latestExpiryMillis()) : soon;
  }

  /** Returns all assignments, sorted by range. */
  public List<KeyAssignment> assignments() {
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
      return takeEffects();
    }
    List<KeyOwner> owners = ranges.stream().map(r -> r.assignment().owner()).toList();
    unreachableDataCentres.update(nowMillis, owners, failureDetector);
    ranges.all().forEach(range -> sendDueOrders(nowMillis, range, storeDoubtful));
    if (!storeCallInFlight && nowMillis >= nextStoreCallMillis && nowMillis >= nextPlanMillis) {
      nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS;
      plan(nowMillis);
    }
    return takeEffects();
  }

  /** Makes the next tick look at where keys belong, since upstreams changed. */
  public void upstreamsChanged() {
    nextPlanMillis = 0;
  }

  /** Takes the answer to {@link KeyEffect.ReadTable}. */
  public List<KeyEffect> tableRead(long nowMillis, TableReadResult result) {
    storeCallInFlight = false;
    if (result instanceof TableReadResult.Found found) {
      adoptTable(nowMillis, found);
    } else {
      nextStoreCallMillis = nowMillis + STORE_RETRY_DELAY_MILLIS;
    }
    return takeEffects();
  }

  /** Takes the answer to {@link KeyEffect.WriteTable}. */
  public List<KeyEffect> tableWritten(long nowMillis, TableWriteResult result) {
    storeCallInFlight = false;
    if (result instanceof TableWriteResult.Written written) {
      version = written.version();
      nextFencingToken = proposal.table().nextFencingToken();
      tableCleanupDue = false;
      ranges = OwnedRanges.of(proposal.resultingRanges());
      inFlightOrders.reindexGrants(ranges.stream());
      revision++;
    } else if (result instanceof TableWriteResult.Unconfirmed) {
      nextStoreCallMillis = nowMillis + STORE_RETRY_DELAY_MILLIS;
      storeCallInFlight = true;
      pendingEffects.add(new KeyEffect.ReadTable(service));
    } else {
      nextStoreCallMillis = nowMillis + STORE_RETRY_DELAY_MILLIS;
    }
    return takeEffects();
  }

  /** Takes the answer to an order. */
  public List<KeyEffect> orderEnded(long nowMillis, long order, OrderResult result) {
    recordGrantResult(nowMillis, order, result);
    Optional<OwnedRange> open =
        inFlightOrders.remove(order).filter(range -> range.awaitsAnswer(order));
    if (open.isEmpty()) {
      return takeEffects();
    }
    OwnedRange range = open.get();
    if (range.phase() == Phase.RELEASING) {
      releaseEnded(nowMillis, range, result);
    } else {
      grantEnded(nowMillis, order, range, result);
    }
    return takeEffects();
  }

  /** Tells each clock on which a grant is open, as the range may have been split meanwhile. */
  private void recordGrantResult(long nowMillis, long order, OrderResult result) {
    inFlightOrders
        .grantTrackers(order)
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
    if (!storeCallInFlight && nowMillis >= nextStoreCallMillis) {
      storeCallInFlight = true;
      pendingEffects.add(new KeyEffect.ReadTable(service));
    }
  }

  /** Adopts a table that was read: at the start of the term, or after a write in doubt. */
  private void adoptTable(long nowMillis, TableReadResult.Found found) {
    if (loaded && found.version() == version) {
      return;
    }
    KeyTable table = found.table().orElseGet(KeyTable::empty);
    version = found.version();
    nextFencingToken = table.nextFencingToken();
    Map<KeyAssignment, OwnedRange> known =
        ranges.stream()
            .collect(Collectors.toMap(OwnedRange::assignment, range -> range, (a, b) -> a));
    // A table that another coordinator wrote late may name owners that were renewed meanwhile.
    GrantTracker granted =
        loaded
            ? GrantTracker.grantedUntil(
                GrantTracker.latestExpiryMillis(nowMillis, holdMaxMillis),
                GrantTracker.latestArrivalMillis(nowMillis))
            : inheritedGrants;
    if (loaded && proposal.table().equals(table)) {
      ranges = OwnedRanges.of(proposal.resultingRanges());
    } else {
      ranges =
          OwnedRanges.of(
              table.assignments().stream()
                  .map(
                      assignment ->
                          known.getOrDefault(assignment, OwnedRange.inherited(assignment, granted)))
                  .toList());
    }
    inFlightOrders.reindexGrants(ranges.stream());
    loaded = true;
    revision++;
    log("keys-loaded", "version " + version, ranges.all().size() + " ranges");
  }

  private void sendDueOrders(long nowMillis, OwnedRange range, boolean storeDoubtful) {
    if (range.phase() == Phase.RELEASING) {
      release(nowMillis, range);
    }
    if (range.phase() != Phase.RELEASING
        && range.readyForOrder(nowMillis)
        && inFlightOrders.count(range.assignment().owner().incarnation()) < MAX_IN_FLIGHT_ORDERS) {
      grant(nowMillis, range, storeDoubtful);
    }
  }

  private void release(long nowMillis, OwnedRange range) {
    KeyOwner previous = range.assignment().previousOwner().orElseThrow();
    boolean ended = catalog.superseded(previous.incarnation(), previous.address());
    if (range.previousOwnerGrants().expired(nowMillis)
        || (range.released()
            && (ended || nowMillis > range.previousOwnerGrants().unansweredExpiryMillis()))) {
      pendingEffects.add(decisionLog.keysFreed(nowMillis, range, ended));
      range.startGranting();
      return;
    }
    // A grant that is still open could arrive after the release.
    if (range.released()
        || range.previousOwnerGrants().mayBeInFlight(nowMillis)
        || !range.readyForOrder(nowMillis)) {
      return;
    }
    long order = registerOrder(range, false);
    pendingEffects.add(
        new KeyEffect.Release(
            order,
            previous.incarnation().id(),
            previous.address(),
            range.range(),
            previous.fencingToken()));
  }

  private void releaseEnded(long nowMillis, OwnedRange range, OrderResult result) {
    KeyOwner previous = range.assignment().previousOwner().orElseThrow();
    range.orderEnded(nowMillis + ORDER_RETRY_DELAY_MILLIS);
    if (result instanceof OrderResult.Done done) {
      range.markReleased(done.handover());
      release(nowMillis, range);
    } else if (result instanceof OrderResult.Misdirected) {
      pendingEffects.add(decisionLog.orderFailed(nowMillis, "release", range, previous, result));
      range.markReleased(Optional.empty());
      release(nowMillis, range);
    } else {
      pendingEffects.add(decisionLog.orderFailed(nowMillis, "release", range, previous, result));
    }
  }

  private void grant(long nowMillis, OwnedRange range, boolean storeDoubtful) {
    KeyOwner owner = range.assignment().owner();
    if (range.fenced() || catalog.superseded(owner.incarnation(), owner.address())) {
      return;
    }
    long hold = storeDoubtful ? holdMaxMillis : Math.min(HOLD_MILLIS, holdMaxMillis);
    if (failureDetector.failedSinceLastAnswer(owner.incarnation())
        && !unreachableDataCentres.contains(owner)) {
      // Longer holds would keep the keys of a lost upstream from others.
      hold = PROBE_HOLD_MILLIS;
      if (GrantTracker.latestExpiryMillis(nowMillis, hold)
          > range.ownerGrants().latestExpiryMillis()) {
        return;
      }
    }
    failureDetector.orderSent(nowMillis, owner.incarnation());
    long order = registerOrder(range, true);
    range.ownerGrants().sent(nowMillis, order, hold);
    pendingEffects.add(
        new KeyEffect.Grant(
            order,
            owner.incarnation().id(),
            owner.address(),
            range.range(),
            owner.fencingToken(),
            hold,
            range.handover(),
            nowMillis + MAX_SEND_DELAY_MILLIS));
  }

  private void grantEnded(long nowMillis, long order, OwnedRange range, OrderResult result) {
    UpstreamIncarnation life = range.assignment().owner().incarnation();
    if (result instanceof OrderResult.Done) {
      range.ownerGrants().answered(nowMillis, order);
      boolean probed = failureDetector.failedSinceLastAnswer(life);
      failureDetector.orderAnswered(nowMillis, life);
      range.orderEnded(probed ? nowMillis : nowMillis + RENEWAL_INTERVAL_MILLIS);
      if (range.phase() == Phase.GRANTING) {
        range.markHeld();
        pendingEffects.add(decisionLog.keysGranted(nowMillis, range));
        tableCleanupDue |= range.assignment().previousOwner().isPresent();
        revision++;
      }
      return;
    }
    range.orderEnded(nowMillis + ORDER_RETRY_DELAY_MILLIS);
    pendingEffects.add(
        decisionLog.orderFailed(nowMillis, "grant", range, range.assignment().owner(), result));
    if (result instanceof OrderResult.Fenced) {
      range.markFenced();
      log("keys-fenced", life.id() + " " + range.range(), "a greater fence was seen");
    } else {
      failureDetector.orderFailed(life);
    }
  }

  private long registerOrder(OwnedRange range, boolean grant) {
    long order = nextOrderId++;
    inFlightOrders.add(order, range, grant);
    range.orderSent(order, grant);
    return order;
  }

  private void plan(long nowMillis) {
    List<UpstreamRegistration> fit = eligibility.eligible(nowMillis, service);
    if (fit.isEmpty()) {
      return;
    }
    if (ranges.all().isEmpty()) {
      proposeInitialOwners(nowMillis, fit);
      return;
    }
    List<KeyPlanner.MovableRange> views =
        ranges.stream()
            .filter(range -> range.phase() != Phase.RELEASING)
            .filter(
                range -> range.phase() == Phase.HELD || eligibility.needsNewOwner(nowMillis, range))
            .map(
                range ->
                    new KeyPlanner.MovableRange(
                        range.range(),
                        range.assignment().owner().incarnation().id(),
                        eligibility.needsNewOwner(nowMillis, range)))
            .toList();
    List<KeyMove> moves = KeyPlanner.plan(views, fit, demand, capacity);
    if (!moves.isEmpty() || tableCleanupDue) {
      proposeMoves(moves);
    }
  }

  private void proposeInitialOwners(long nowMillis, List<UpstreamRegistration> fit) {
    if (fit.size() != eligibleCount) {
      eligibleCount = fit.size();
      eligibleCountChangedMillis = nowMillis;
    }
    if (nowMillis - eligibleCountChangedMillis < INITIAL_OWNERS_DELAY_MILLIS) {
      return;
    }
    proposal = TableProposal.initial(KeyPlanner.initialOwners(fit, capacity), nextFencingToken);
    writeTable("keys-first", proposal.size() + " ranges");
  }

  private void proposeMoves(List<KeyMove> moves) {
    ranges.stream()
        .filter(range -> range.phase() == Phase.HELD)
        .forEach(OwnedRange::clearPreviousOwner);
    proposal = TableProposal.withMoves(ranges.all(), moves, nextFencingToken);
    moves.forEach(
        move -> log("keys-move", move.range() + " to " + move.target().id(), move.reason()));
    writeTable("keys-write", moves.size() + " moves");
  }

  private void writeTable(String decision, String what) {
    storeCallInFlight = true;
    pendingEffects.add(new KeyEffect.WriteTable(service, proposal.table(), version));
    log(decision, "version " + version, what);
  }

  private void log(String decision, String subject, String reason) {
    pendingEffects.add(decisionLog.entry(decision, subject, reason));
  }

  private List<KeyEffect> takeEffects() {
    List<KeyEffect> effects = List.copyOf(pendingEffects);
    pendingEffects.clear();
    return effects;
  }
}
