package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.EraNumber;
import dev.hornbeamwheel.core.host.catalog.StoreVersion;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.keys.OwnedRange.Phase;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Manages which upstream owns which keys of one service during one term of the coordinator.
 *
 * <p>A change of owner is written to the store first. Then the previous owner is asked to release
 * the keys, after a grant with a greater fencing token if it may still carry out others ({@link
 * ReleaseStep}). Once the release is answered or its grants have expired, a table without the
 * previous owner is written, and only then does the new owner get its grant. A table that names a
 * previous owner thus shows the next coordinator that the new owner was not granted the keys.
 *
 * <p>A later incarnation at the previous owner's address is asked to release the keys, too, because
 * the last renewal may have reached it. The previous owner has ended if a later incarnation was
 * seen and another upstream answers at its address; one that answers the release under its id may
 * still carry out grants that it has not answered.
 */
public final class KeyedService {
  /** Hold time of a grant under normal conditions, in milliseconds. */
  static final long HOLD_MILLIS = 3_000;

  /** Interval between two renewals of the grant of a range, in milliseconds. */
  static final long RENEWAL_INTERVAL_MILLIS = 750;

  /** Time after which a grant that is delayed in this process is dropped, in milliseconds. */
  static final long MAX_SEND_DELAY_MILLIS = 250;

  /** Delay after a failed order before the next order for the range, in milliseconds. */
  static final long ORDER_RETRY_DELAY_MILLIS = 250;

  /** Interval between two plans of moves, in milliseconds. */
  static final long PLAN_INTERVAL_MILLIS = 200;

  /**
   * Delay after a write of the table before another one only merges ranges, in milliseconds: most
   * are merged with the next move.
   */
  private static final long MERGE_DELAY_MILLIS = 1_000;

  /** Delay before a failed read or write of the table is retried, in milliseconds. */
  private static final long STORE_RETRY_DELAY_MILLIS = 200;

  private final ServiceId service;
  private final Catalog catalog;
  private final Capacity capacity;
  private final long holdMaxMillis;
  private final KeyDemand demand;
  private final HotKeys hotKeys;
  private final UpstreamFailureDetector detector = new UpstreamFailureDetector();
  private final KeyDecisionLog decisionLog;
  private final UnreachableDataCentres unreachable;
  private final OwnerEligibility eligibility;
  private final GrantHoldTimes holdTimes;
  private final HandOverEstimate handOverEstimate;
  private final InFlightOrders inFlightOrders = new InFlightOrders();
  private final List<KeyEffect> pendingEffects = new ArrayList<>();
  private final KeyRecall recall;
  private final OwnerGrants ownerGrants;

  private OwnedRanges ranges = OwnedRanges.empty();
  private KeyTable pendingTable = KeyTable.empty();
  private final ProposedTables proposedTables = new ProposedTables();
  private boolean loaded;
  private boolean storePending;
  private StoreVersion version = StoreVersion.ofEraZero(0);
  private long nextFencingToken = 1;
  private final TableRestore restore = new TableRestore();
  private GrantTracker inheritedGrants = GrantTracker.neverGranted();
  private long nextStoreCallMillis;
  private long nextPlanMillis;
  private long nextMergeMillis;
  private final InitialOwners initialOwners = new InitialOwners();
  private boolean handOverDue;
  private long revision;

  private KeyedService(
      ServiceId service, Catalog catalog, Capacity capacity, KeyDemand demand, long holdMaxMillis) {
    this.service = service;
    this.decisionLog = new KeyDecisionLog(service);
    this.catalog = catalog;
    this.capacity = capacity;
    this.demand = demand;
    this.hotKeys = HotKeys.of(service, catalog, demand, capacity);
    this.holdMaxMillis = holdMaxMillis;
    this.unreachable = new UnreachableDataCentres(catalog);
    this.eligibility = new OwnerEligibility(catalog, detector, unreachable);
    this.handOverEstimate = new HandOverEstimate(catalog, detector);
    this.holdTimes = new GrantHoldTimes(detector, unreachable, holdMaxMillis);
    this.recall =
        new KeyRecall(
            catalog, detector, holdTimes, inFlightOrders, decisionLog, pendingEffects::add);
    this.ownerGrants =
        new OwnerGrants(
            catalog, detector, holdTimes, inFlightOrders, decisionLog, pendingEffects::add);
  }

  /**
   * Starts a term for a service; no owners are known until the table has been read.
   *
   * @param holdMaxMillis longest hold time that upstreams accept, in milliseconds
   */
  public static KeyedService startTerm(
      long nowMillis,
      ServiceId service,
      Catalog catalog,
      Capacity capacity,
      KeyDemand demand,
      long holdMaxMillis) {
    KeyedService started = new KeyedService(service, catalog, capacity, demand, holdMaxMillis);
    long lastSendMillis = nowMillis + MAX_SEND_DELAY_MILLIS;
    started.inheritedGrants =
        GrantTracker.grantedUntil(
            GrantTracker.latestExpiryOfGrant(lastSendMillis, holdMaxMillis),
            GrantTracker.latestArrivalMillis(lastSendMillis));
    return started;
  }

  /** Sets the owners as this host was last told; used only if the stored table may be outdated. */
  public void toldOwners(KeyOwnerCache owners) {
    restore.toldOwners(owners);
  }

  /** Reads the table as soon as possible, because the store was restored to an earlier state. */
  public void storeRestored() {
    restore.storeRestored();
  }

  /** Returns a number that increases whenever {@link #assignments()} may have changed. */
  public long revision() {
    return revision;
  }

  /** Returns whether the table is loaded, not being written, and no key is changing its owner. */
  public boolean stable() {
    return loaded && !storePending && ranges.stream().allMatch(r -> r.phase() == Phase.HELD);
  }

  /** Returns whether the table has been read in this term. */
  public boolean loaded() {
    return loaded;
  }

  /**
   * Returns the upstream that certainly holds a key, or empty while the key changes its owner or
   * the owner has no valid grant that it confirmed in this term.
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

  /** Returns the fencing token of a key's owner; zero if the key has no owner. */
  public long fencingToken(int key) {
    return ranges.find(key).map(range -> range.assignment().owner().fencingToken()).orElse(0L);
  }

  /** Returns how the requests for a key relate to what its owner can serve. */
  public KeyLoad load(int key) {
    return hotKeys.load(key);
  }

  /** Estimates when a key will have a holder; {@code nowMillis} if it has one. */
  public long readyMillis(long nowMillis, int key) {
    return ranges
        .find(key)
        .map(range -> handOverEstimate.readyMillis(nowMillis, range))
        .orElse(nowMillis + HandOverEstimate.TYPICAL_HANDOVER_MILLIS);
  }

  /** Returns all assignments, sorted by range. */
  public List<KeyAssignment> assignments() {
    return ranges.stream().map(OwnedRange::assignment).toList();
  }

  /**
   * Returns the orders and store calls that are due.
   *
   * @param storeMaybeUnavailable whether the store may be down; if so, grants last longest
   */
  public List<KeyEffect> tick(long nowMillis, boolean storeMaybeUnavailable) {
    demand.advance(nowMillis);
    if (!loaded || restore.readDue()) {
      readTable(nowMillis);
    }
    if (!loaded) {
      return takeEffects();
    }
    pendingEffects.addAll(hotKeys.update(nowMillis, ranges, decisionLog));
    List<KeyOwner> owners = ranges.stream().map(r -> r.assignment().owner()).toList();
    unreachable.update(nowMillis, owners, detector);
    if (restore.mayOrder()) {
      ranges.all().forEach(range -> sendDueOrders(nowMillis, range, storeMaybeUnavailable));
    }
    writeDueTable(nowMillis);
    handOverDue = false;
    return takeEffects();
  }

  /** Returns whether a hand-over can take its next step at once, without the next regular tick. */
  public boolean handOverDue() {
    return handOverDue;
  }

  private void writeDueTable(long nowMillis) {
    if (storePending || nowMillis < nextStoreCallMillis) {
      return;
    }
    if (restore.rewriteDue()) {
      TableProposal proposal = restore.proposal(nowMillis, ranges.all(), nextFencingToken);
      writeTable(proposal, "keys-rewrite", proposal.size() + " ranges");
      return;
    }
    boolean unfitOwner =
        ranges.stream()
            .filter(range -> range.phase() == Phase.FREE)
            .anyMatch(range -> eligibility.needsNewOwner(nowMillis, range));
    if (nowMillis >= nextPlanMillis || unfitOwner) {
      nextPlanMillis = nowMillis + PLAN_INTERVAL_MILLIS;
      plan(nowMillis);
    } else if (handOverNeedsWrite(nowMillis)) {
      proposeMoves(nowMillis, List.of());
    }
  }

  /** Returns whether a hand-over waits for a write of the table. */
  private boolean handOverNeedsWrite(long nowMillis) {
    return ranges.stream()
        .anyMatch(range -> range.phase() == Phase.FREE || range.needsTokens(nowMillis));
  }

  /** Makes the next tick plan moves, because the set of upstreams has changed. */
  public void upstreamsChanged() {
    nextPlanMillis = 0;
  }

  /**
   * Records that the local clock has advanced by a time that may not have passed: the host was
   * suspended, or its time of day was set forward.
   */
  public void clockAdvanced(long millis) {
    inheritedGrants.postpone(millis);
    ranges.stream().forEach(range -> range.postponeExpiries(millis));
  }

  /** Handles the result of {@link KeyEffect.ReadTable}. */
  public List<KeyEffect> tableRead(long nowMillis, TableReadResult result) {
    storePending = false;
    if (result instanceof TableReadResult.Found found) {
      adoptTable(nowMillis, found);
    } else {
      nextStoreCallMillis = nowMillis + STORE_RETRY_DELAY_MILLIS;
    }
    return takeEffects();
  }

  /** Handles the result of {@link KeyEffect.WriteTable}. */
  public List<KeyEffect> tableWritten(long nowMillis, TableWriteResult result) {
    storePending = false;
    boolean inOtherEra =
        result instanceof TableWriteResult.Written written
            && written.version().era() != version.era();
    if (!inOtherEra && result instanceof TableWriteResult.Written written) {
      adoptRanges(written.version(), pendingTable, GrantTracker.neverGranted());
      // Requests that are on their way to previous owners have until the next tick to arrive.
      handOverDue = ranges.stream().anyMatch(range -> range.phase() == Phase.GRANTING);
    } else if (inOtherEra || result instanceof TableWriteResult.Unconfirmed) {
      nextStoreCallMillis = nowMillis + STORE_RETRY_DELAY_MILLIS;
      storePending = true;
      pendingEffects.add(new KeyEffect.ReadTable(service));
    } else {
      nextStoreCallMillis = nowMillis + STORE_RETRY_DELAY_MILLIS;
    }
    return takeEffects();
  }

  /** Handles the result of a grant or a release. */
  public List<KeyEffect> orderEnded(long nowMillis, long orderId, OrderResult result) {
    ownerGrants.record(nowMillis, orderId, result);
    Optional<OwnedRange> awaiting =
        inFlightOrders.remove(orderId).filter(range -> range.awaitsAnswer(orderId));
    if (awaiting.isEmpty()) {
      return takeEffects();
    }
    OwnedRange range = awaiting.get();
    if (range.phase() != Phase.RELEASING) {
      if (ownerGrants.grantEnded(nowMillis, range, result)) {
        revision++;
      }
    } else {
      recallEnded(nowMillis, range, result);
    }
    return takeEffects();
  }

  private void recallEnded(long nowMillis, OwnedRange range, OrderResult result) {
    if (ranges.find(range.range().first()).filter(current -> current == range).isEmpty()) {
      // The range has got other fencing tokens or another owner since.
      return;
    }
    if (range.fencing()) {
      recall.grantEnded(nowMillis, range, result);
    } else {
      recall.releaseEnded(nowMillis, range, result);
    }
    handOverDue = true;
  }

  private void readTable(long nowMillis) {
    if (!storePending && nowMillis >= nextStoreCallMillis) {
      storePending = true;
      pendingEffects.add(new KeyEffect.ReadTable(service));
    }
  }

  /** Adopts a table that was read at the start of the term or after an unconfirmed write. */
  private void adoptTable(long nowMillis, TableReadResult.Found found) {
    restore.tableRead();
    KeyTable table = found.table().orElseGet(KeyTable::empty);
    if (loaded && found.version().equals(version)) {
      return;
    }
    if (RestoredTable.predates(table, found.version())) {
      keepOwners(nowMillis, found.version(), table);
      return;
    }
    // If another coordinator's delayed write landed, its owners may have been renewed since then.
    GrantTracker grants =
        loaded
            ? GrantTracker.grantedUntil(
                GrantTracker.latestExpiryOfGrant(nowMillis, holdMaxMillis),
                GrantTracker.latestArrivalMillis(nowMillis))
            : inheritedGrants;
    // Each token is reserved by a write before the first grant has it.
    long greatestToken = Math.max(nextFencingToken, table.nextFencingToken()) - 1;
    adoptRanges(found.version(), table, grants.withTokensUpTo(greatestToken));
    loaded = true;
    log("keys-loaded", "version " + version, ranges.all().size() + " ranges");
  }

  /**
   * Keeps the owners that are known, although a table of an earlier era is stored, and has them
   * written again. Without known owners the table is used once no grant can be in force any more,
   * as it may not name the upstreams that hold the keys.
   */
  private void keepOwners(long nowMillis, StoreVersion storedVersion, KeyTable stored) {
    if (!loaded && !inheritedGrants.expired(nowMillis)) {
      long expiryMillis = inheritedGrants.latestExpiryMillis();
      nextStoreCallMillis = expiryMillis + 1;
      log("keys-wait", "version " + storedVersion, (expiryMillis - nowMillis) + " ms");
      return;
    }
    version = storedVersion;
    nextFencingToken = Math.max(nextFencingToken, EraNumber.firstAfter(storedVersion));
    proposedTables.clear();
    if (!loaded) {
      loaded = true;
      ranges = restore.adopt(stored, catalog, inheritedGrants.withTokensUpTo(nextFencingToken - 1));
    }
    if (!ranges.all().isEmpty()) {
      restore.rewrite();
    }
    log("keys-restored", "version " + version, ranges.all().size() + " ranges to write again");
  }

  /**
   * Adopts a table as the stored one.
   *
   * @param grants grants that may have been sent to the owners of a table not proposed in this term
   */
  private void adoptRanges(StoreVersion newVersion, KeyTable table, GrantTracker grants) {
    version = newVersion;
    restore.tableStored();
    nextFencingToken = table.nextFencingToken();
    ranges =
        OwnedRanges.of(
            proposedTables
                .adopt(table)
                .orElseGet(
                    () ->
                        table.assignments().stream()
                            .map(assignment -> knownOrInherited(assignment, grants))
                            .toList()));
    inFlightOrders.reindexGrants(ranges.stream());
    revision++;
  }

  /** Returns a range in its known state if it has the same owner as before. */
  private OwnedRange knownOrInherited(KeyAssignment assignment, GrantTracker grants) {
    return ranges
        .find(assignment.range().first())
        .filter(known -> known.assignment().owner().equals(assignment.owner()))
        .filter(known -> known.range().contains(assignment.range().last()))
        .map(known -> known.part(assignment.range()))
        .orElseGet(() -> OwnedRange.inherited(assignment, grants));
  }

  private void sendDueOrders(long nowMillis, OwnedRange range, boolean storeMaybeUnavailable) {
    if (range.phase() == Phase.RELEASING) {
      recall.advance(nowMillis, range);
    } else if (range.phase() != Phase.FREE) {
      ownerGrants.advance(nowMillis, range, storeMaybeUnavailable);
    }
  }

  private void plan(long nowMillis) {
    List<UpstreamRegistration> eligible = eligibility.eligible(nowMillis, service);
    if (ranges.all().isEmpty()) {
      proposeInitialOwners(nowMillis, eligible);
      return;
    }
    List<KeyMove> moves =
        eligible.isEmpty()
            ? List.of()
            : MovePlan.moves(nowMillis, ranges, eligibility, eligible, demand, hotKeys, capacity);
    if (!moves.isEmpty() || handOverNeedsWrite(nowMillis) || mergeDue(nowMillis)) {
      proposeMoves(nowMillis, moves);
    }
  }

  /** Returns whether neighbouring ranges of one owner should be merged, to save grants. */
  private boolean mergeDue(long nowMillis) {
    return nowMillis >= nextMergeMillis && TableProposal.canMerge(ranges.all());
  }

  private void proposeInitialOwners(long nowMillis, List<UpstreamRegistration> eligible) {
    if (initialOwners.due(nowMillis, eligible)) {
      TableProposal proposal =
          TableProposal.initial(InitialOwners.of(eligible, capacity), nextFencingToken);
      writeTable(proposal, "keys-first", proposal.size() + " ranges");
    }
  }

  private void proposeMoves(long nowMillis, List<KeyMove> moves) {
    nextMergeMillis = nowMillis + MERGE_DELAY_MILLIS;
    TableProposal proposal =
        TableProposal.withMoves(nowMillis, ranges.all(), moves, nextFencingToken);
    moves.forEach(
        move -> log("keys-move", move.range() + " to " + move.target().id(), move.reason()));
    writeTable(proposal, "keys-write", moves.size() + " moves");
  }

  private void writeTable(TableProposal proposal, String decision, String what) {
    storePending = true;
    pendingTable = proposedTables.add(proposal);
    pendingEffects.add(new KeyEffect.WriteTable(service, pendingTable, version));
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
