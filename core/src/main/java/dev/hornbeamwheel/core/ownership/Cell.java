package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.LeadershipTransfer;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.RowStored;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.StoreRow;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.TermsClosed;
import java.util.List;
import java.util.Optional;

/**
 * The state of one cell at one controller, which may be voter, candidate, leader or only a reader
 * of the row.
 */
final class Cell {
  /** Interval between reads of the row while it or its leader is unknown. */
  private static final long READ_INTERVAL_MILLIS = 500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ControllerContext context;
  private final CellId id;
  private final VoterState voterState;
  private final LeaderElector elector;
  private final VoterLiveness liveness;
  private final TermSealer sealer;
  private final RowStore rowStore;
  private final VoterSetPlanner voterSetPlanner;
  private final PlatformContact platformContact;
  private final CloseNotice closeNotice;
  private Leader leader;
  private boolean rowAbsent;
  private long lastReadAt = NEVER;

  Cell(ControllerContext context, CellId id) {
    this.context = context;
    this.id = id;
    this.voterState = new VoterState(context.self());
    this.elector = new LeaderElector(context, id, voterState);
    this.liveness = new VoterLiveness(context, id);
    this.sealer = new TermSealer(context, id, liveness);
    this.rowStore = new RowStore(id, context);
    this.voterSetPlanner = new VoterSetPlanner(context, id, liveness);
    this.platformContact = new PlatformContact(context);
    this.closeNotice = new CloseNotice(context, id);
  }

  Optional<CellRow> row() {
    return voterState.row();
  }

  boolean votes() {
    return voterState.votes();
  }

  boolean sealed(long termNumber) {
    return voterState.sealed(termNumber);
  }

  boolean leads(long now) {
    return leader != null && leadsDeclaredService(now);
  }

  void tick(Service service, long now) {
    rowStore.tick(now);
    if (voterState.row().isEmpty()) {
      findOrCreateRow(service, now);
      return;
    }
    CellRow row = voterState.row().get();
    if (leader != null && !leadershipValid(service, now)) {
      resign();
    }
    elector.tick(row, leader != null, now);
    sealPredecessors(row, now);
    confirmLeadership(service, row, now);
    closeNotice.tick(row, leader != null, now);
    if (platformContact.refreshDue(service, elector.election(), now)) {
      rowStore.read(now);
    }
    if (leader != null) {
      tickLeader(service, row, now);
    } else {
      considerTakeover(service, row, now);
    }
  }

  private void findOrCreateRow(Service service, long now) {
    if (context.stopping() || !voterSetPlanner.shouldFindRow()) {
      return;
    }
    if (rowAbsent && rowStore.canWrite(now)) {
      voterSetPlanner.firstRow(service, now).ifPresent(row -> write(row, now));
    }
    readPeriodically(now);
  }

  private void readPeriodically(long now) {
    if (now - lastReadAt >= READ_INTERVAL_MILLIS) {
      lastReadAt = now;
      rowStore.read(now);
    }
  }

  /**
   * Returns the election of the term that this controller leads, while its leader lease is valid.
   */
  private Optional<Election> validElection(long now) {
    return elector
        .election()
        .filter(e -> leadsTermOf(e, now))
        .or(() -> elector.earlier(now).filter(e -> leadsTermOf(e, now)));
  }

  private boolean leadsTermOf(Election election, long now) {
    return election.term().equals(leader.term()) && election.leaseValid(now, context.options());
  }

  private boolean leadershipValid(Service service, long now) {
    return validElection(now).filter(e -> platformContact.mayServe(service, e, now)).isPresent();
  }

  private boolean leadsDeclaredService(long now) {
    return context
        .topology()
        .service(id.service())
        .filter(s -> leadershipValid(s, now))
        .isPresent();
  }

  private void resign() {
    log("resign", "leader lease expired", leader.row());
    leader = null;
  }

  private void sealPredecessors(CellRow row, long now) {
    Optional<Election> earlier = elector.earlier(now);
    if (row.unsealed().isEmpty() || (!elector.leaseValid(now) && earlier.isEmpty())) {
      return;
    }
    sealer.requestSeals(row.unsealed(), now);
    long earlierTermNumber = earlier.map(e -> e.term().number()).orElse(0L);
    if (leader != null
        && earlierTermNumber > 0
        && earlierTermNumber < row.termNumber()
        && sealer.majorityOfVotersSealed(earlierTermNumber)) {
      sealer.closeUpTo(earlierTermNumber);
      resignTo(row, earlierTermNumber, now);
    }
  }

  /** Resigns in favour of the voters of a later term number if this controller cannot lead it. */
  private void resignTo(CellRow row, long earlierTermNumber, long now) {
    if (voterState.votes() && !voterState.promisedToOther(now) && !context.stopping()) {
      return;
    }
    log("resign", "leadership moved to the voters of a later term number", row);
    leader = null;
    elector.clearEarlier();
    closeNotice.start(earlierTermNumber);
  }

  private void confirmLeadership(Service service, CellRow row, long now) {
    Election election = elector.election().filter(e -> elector.leaseValid(now)).orElse(null);
    boolean replicated =
        election != null
            && (election.majorityVersion() >= row.version()
                || context.skippedStep() == SkippedStep.NO_REPLICATION);
    if (!replicated
        || !sealer.earlierLeadersEnded(row.unsealed(), service, now)
        || !platformContact.mayServe(service, election, now)) {
      return;
    }
    if (leader == null) {
      leader = new Leader(context, service, election.term(), row, now);
      log("lead", "majority of the voters promised " + election.term(), row);
    } else {
      leader.continueInTerm(election.term());
    }
    elector.clearEarlier();
    if (leader.row().version() < row.version()) {
      leader.adopt(row);
    }
  }

  private void tickLeader(Service service, CellRow row, long now) {
    leader.tick(now);
    if (leader.row().version() != row.version() || !rowStore.canWrite(now)) {
      return;
    }
    if (!row.unsealed().isEmpty()) {
      write(row.withoutUnsealed(context.nextOperationId()), now);
      return;
    }
    Optional<CellRow> moved =
        leader.plan(now).map(next -> row.withAssignments(next, context.nextOperationId()));
    moved
        .or(() -> voterSetPlanner.nextRowAsLeader(service, row, now))
        .ifPresent(next -> write(next, now));
  }

  private void considerTakeover(Service service, CellRow row, long now) {
    if (context.stopping() || elector.leaseValid(now) || !rowStore.canWrite(now)) {
      return;
    }
    boolean led = voterState.promisedToOther(now);
    readWhileLeaderless(led, now);
    voterSetPlanner.takeoverRow(service, row, led, now).ifPresent(next -> write(next, now));
  }

  /**
   * Reads the row periodically while no leader is known, since this voter may have missed a change
   * of the voters.
   */
  private void readWhileLeaderless(boolean led, long now) {
    if (led) {
      lastReadAt = now;
    } else if (voterState.votes()) {
      readPeriodically(now);
    }
  }

  private void write(CellRow next, long now) {
    rowStore.write(next, now);
    if (context.skippedStep() == SkippedStep.ACT_BEFORE_WRITE) {
      learn(next, true, now);
    }
  }

  /** Adopts a committed row if it is newer than the known one. */
  void learn(CellRow row, boolean writer, long now) {
    long knownTermNumber = voterState.row().map(CellRow::termNumber).orElse(0L);
    if (!voterState.learn(row)) {
      return;
    }
    if (row.termNumber() != knownTermNumber) {
      elector.onTermNumberChanged(Optional.ofNullable(leader).map(Leader::term), writer, now);
    }
    replicate(row);
  }

  private void replicate(CellRow row) {
    Optional<Election> own = elector.election();
    if (own.isPresent() || leader != null) {
      var term = own.map(Election::term).orElseGet(() -> leader.term());
      row.voters().stream()
          .filter(voter -> !voter.equals(context.self()))
          .forEach(voter -> send(voter.member(), new StoreRow(term, row)));
      own.filter(e -> voterState.store(term, row))
          .ifPresent(e -> e.recordStored(context.self(), row.version()));
    }
  }

  void onRowRead(long readId, RowReadResult result, long now) {
    Optional<Long> startedAt = rowStore.onReadEnded(readId, result, now);
    rowAbsent = startedAt.isPresent() && result instanceof RowReadResult.Absent;
    if (result instanceof RowReadResult.Found found) {
      learn(found.row(), rowStore.isOwnWrite(found.row()), now);
      publishLeaderlessRow(found.row());
      startedAt.ifPresent(at -> platformContact.record(found.row().termNumber(), at));
    }
  }

  void onRowWritten(String operationId, RowWriteResult result, long now) {
    long startedAt = rowStore.writeStartedAt();
    rowStore
        .onWriteEnded(operationId, result, now)
        .ifPresent(
            row -> {
              platformContact.record(row.termNumber(), startedAt);
              learn(row, true, now);
              publishLeaderlessRow(row);
            });
  }

  /** Publishes a row whose term number has no leader yet, because its voters may not know it. */
  private void publishLeaderlessRow(CellRow row) {
    if (leader == null || leader.term().number() != row.termNumber()) {
      context.outbox().add(new OwnershipEffect.PublishRow(row));
    }
  }

  PromiseReply onPromiseRequest(Voter candidate, PromiseRequest request, long now) {
    return voterState.promise(candidate, request, now, context.options().leaderLeaseMillis());
  }

  void onPromiseReply(Voter voter, long sentAt, PromiseReply reply, long now) {
    reply.row().ifPresent(row -> learn(row, false, now));
    voterState.row().ifPresent(row -> elector.onPromiseReply(voter, sentAt, reply, row));
  }

  void onStoreRow(MemberId from, StoreRow message, long now) {
    learn(message.row(), false, now);
    boolean accepted = voterState.store(message.term(), message.row());
    long version = voterState.row().map(CellRow::version).orElse(0L);
    send(from, new RowStored(id, message.term(), accepted, version));
  }

  void onRowStored(Voter voter, RowStored message) {
    elector
        .election()
        .filter(e -> message.accepted() && e.term().equals(message.term()))
        .ifPresent(e -> e.recordStored(voter, message.version()));
  }

  void onSealRequest(MemberId from, SealRequest request, long now) {
    if (request.target().equals(context.self().incarnation())) {
      voterState.seal(request.termNumber());
    }
    List<String> claims = context.claims().claims(id);
    send(
        from,
        new SealReply(
            request.target(), id, request.termNumber(), voterState.promiseActive(now), claims));
  }

  /**
   * Records the seal of a voter; a reply from another incarnation counts as a seal, because the
   * addressed one can never promise again.
   */
  void onSealReply(Voter replier, SealReply reply, long now) {
    Voter addressed = new Voter(replier.member(), reply.target());
    liveness.recordReply(addressed, replier, reply.promiseActive(), now);
    sealer.recordSeal(addressed, reply.termNumber());
    if (reply.termNumber() > 0 && replier.equals(addressed)) {
      context
          .outbox()
          .add(new OwnershipEffect.DeliverClaims(id, reply.termNumber(), reply.claims()));
    }
  }

  void onLeadershipTransfer(MemberId from, LeadershipTransfer message, long now) {
    boolean freed = voterState.endPromise(from, message.term());
    if (freed && message.successor().equals(context.self().member())) {
      elector.campaignNow(now);
    }
  }

  void onTermsClosed(TermsClosed message, long now) {
    learn(message.row(), false, now);
    sealer.closeUpTo(message.termNumber());
    if (message.successor().equals(context.self().member())) {
      elector.campaignNow(now);
    }
  }

  void onUpstreamReply(UpstreamId upstream, UpstreamReply reply, long now) {
    if (leads(now)) {
      leader.onReply(upstream, reply, now);
    }
  }

  /** Transfers leadership to the next controller by rank. */
  void transferLeadership() {
    if (leader != null) {
      leader = null;
      voterState.row().ifPresent(elector::transferLeadership);
    }
  }

  private void send(MemberId to, OwnershipMessage message) {
    context.outbox().send(to, message);
  }

  private void log(String kind, String reason, CellRow row) {
    context
        .outbox()
        .log(
            new Decision(
                kind, reason, id.service().value(), id.index(), row.version(), "", "", ""));
  }
}
