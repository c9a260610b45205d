package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.HandOver;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.NumberClosed;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.RowStored;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.SealRequest;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.StoreRow;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One controller's part in one cell: voter, candidate, leader, or reader of its row. */
final class Cell {
  /** Time between reads of a row that is not known, in milliseconds. */
  private static final long READ_MILLIS = 500;

  /** Age of the last sign of not being isolated from which the row is read, in milliseconds. */
  private static final long EVIDENCE_MILLIS = 700;

  /** Time between later tellings of the end of a term number, in milliseconds. */
  private static final long CLOSE_MILLIS = 500;

  /** Times that the end of a term number is told at once, because a message may be lost. */
  private static final int CLOSE_REPEATS = 4;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Context context;
  private final CellId id;
  private final VoterState vote;
  private final Candidacy candidacy;
  private final Liveness liveness;
  private final Sealing sealing;
  private final RowStore store;
  private final NumberChange numberChange;
  private Leader leader;
  private boolean absent;
  private long readAt = NEVER;
  private final Map<Long, Long> platformSeenAt = new HashMap<>();
  private long closedNumber;
  private int closeRepeats;
  private long toldAt;

  Cell(Context context, CellId id) {
    this.context = context;
    this.id = id;
    this.vote = new VoterState(context.self());
    this.candidacy = new Candidacy(context, id, vote);
    this.liveness = new Liveness(context, id);
    this.sealing = new Sealing(context, id, liveness);
    this.store = new RowStore(id, context);
    this.numberChange = new NumberChange(context, id, liveness);
  }

  Optional<CellRow> row() {
    return vote.row();
  }

  boolean votes() {
    return vote.votes();
  }

  boolean sealed(long number) {
    return vote.sealed(number);
  }

  boolean leads(long now) {
    return leader != null && leadsDeclared(now);
  }

  void tick(Service service, long now) {
    store.tick(now);
    if (vote.row().isEmpty()) {
      find(service, now);
      return;
    }
    CellRow row = vote.row().get();
    if (leader != null && !leading(service, now)) {
      resign();
    }
    candidacy.tick(row, leader != null, now);
    seal(row, now);
    confirm(service, row, now);
    tellClosed(row, now);
    watchIsolation(service, now);
    if (leader != null) {
      lead(service, row, now);
    } else {
      follow(service, row, now);
    }
  }

  private void find(Service service, long now) {
    if (context.stopping() || !numberChange.responsible()) {
      return;
    }
    if (absent && store.idle(now)) {
      numberChange.first(service, now).ifPresent(row -> write(row, now));
    }
    readSometimes(now);
  }

  private void readSometimes(long now) {
    if (now - readAt >= READ_MILLIS) {
      readAt = now;
      store.read(now);
    }
  }

  /** Returns the candidacy whose term is led, while its lease lasts. */
  private Optional<Election> held(long now) {
    return candidacy
        .election()
        .filter(e -> holds(e, now))
        .or(() -> candidacy.earlier(now).filter(e -> holds(e, now)));
  }

  private boolean holds(Election election, long now) {
    return election.term().equals(leader.term()) && election.won(now, context.options());
  }

  private boolean leading(Service service, long now) {
    return held(now).filter(e -> connected(service, e, now)).isPresent();
  }

  private boolean leadsDeclared(long now) {
    return context.topology().service(id.service()).filter(s -> leading(s, now)).isPresent();
  }

  /** Returns whether a service that yields may go on, having heard from outside lately. */
  private boolean connected(Service service, Election election, long now) {
    return service.isolation() == Isolation.KEEP_SERVING
        || now < seenAt(election) + Drift.shrink(context.options().yieldAfterMillis())
        || election.witnessed(now, context.options());
  }

  /** Returns since when the platform has surely held the term number of a candidacy. */
  private long seenAt(Election election) {
    return platformSeenAt.getOrDefault(election.term().number(), NEVER);
  }

  private void watchIsolation(Service service, long now) {
    boolean unseen =
        candidacy
            .election()
            .filter(e -> e.won(now, context.options()) && !e.witnessed(now, context.options()))
            .filter(e -> now - seenAt(e) >= EVIDENCE_MILLIS)
            .isPresent();
    if (unseen && service.isolation() == Isolation.YIELD) {
      store.read(now);
    }
  }

  private void resign() {
    log("resign", "lease of the leadership lapsed", leader.row());
    leader = null;
  }

  private void seal(CellRow row, long now) {
    Optional<Election> earlier = candidacy.earlier(now);
    if (row.unsealed().isEmpty() || (!candidacy.won(now) && earlier.isEmpty())) {
      return;
    }
    sealing.request(row.unsealed(), now);
    long number = earlier.map(e -> e.term().number()).orElse(0L);
    if (leader != null && number > 0 && number < row.number() && sealing.votersSealed(number)) {
      sealing.close(number);
      yieldTo(row, number, now);
    }
  }

  /** Gives the cell to the voters of a later number if this controller cannot lead it. */
  private void yieldTo(CellRow row, long number, long now) {
    if (vote.votes() && !vote.heldByOther(now) && !context.stopping()) {
      return;
    }
    log("resign", "the cell has other voters", row);
    leader = null;
    candidacy.forgetEarlier();
    closedNumber = number;
    closeRepeats = CLOSE_REPEATS;
  }

  private void tellClosed(CellRow row, long now) {
    if (row.unsealed().isEmpty() || closedNumber == 0 || leader != null) {
      closedNumber = 0;
      return;
    }
    if (closeRepeats == 0 && now - toldAt < CLOSE_MILLIS) {
      return;
    }
    closeRepeats = Math.max(0, closeRepeats - 1);
    toldAt = now;
    MemberId successor = context.topology().sorted(id, row.voters()).get(0).member();
    row.voters().forEach(v -> send(v.member(), new NumberClosed(closedNumber, row, successor)));
  }

  private void confirm(Service service, CellRow row, long now) {
    Election election = candidacy.election().filter(e -> candidacy.won(now)).orElse(null);
    boolean replicated =
        election != null
            && (election.majorityVersion() >= row.version()
                || context.shortcut() == Shortcut.NO_REPLICATION);
    if (!replicated
        || !sealing.settled(row.unsealed(), service, now)
        || !connected(service, election, now)) {
      return;
    }
    if (leader == null) {
      leader = new Leader(context, service, election.term(), row, now);
      log("lead", "majority of the voters promised " + election.term(), row);
    } else {
      leader.continueUnder(election.term());
    }
    candidacy.forgetEarlier();
    if (leader.row().version() < row.version()) {
      leader.adopt(row);
    }
  }

  private void lead(Service service, CellRow row, long now) {
    leader.tick(now);
    if (leader.row().version() != row.version() || !store.idle(now)) {
      return;
    }
    if (!row.unsealed().isEmpty()) {
      write(row.withoutUnsealed(context.nextOperation()), now);
      return;
    }
    Optional<CellRow> moved =
        leader.plan(now).map(next -> row.withAssignments(next, context.nextOperation()));
    moved.or(() -> numberChange.byLeader(service, row, now)).ifPresent(next -> write(next, now));
  }

  private void follow(Service service, CellRow row, long now) {
    if (context.stopping() || candidacy.won(now) || !store.idle(now)) {
      return;
    }
    boolean led = vote.heldByOther(now);
    watchVacancy(led, now);
    numberChange.byOther(service, row, led, now).ifPresent(next -> write(next, now));
  }

  /** Reads the row while no leader is known, since the voters may have changed unnoticed. */
  private void watchVacancy(boolean led, long now) {
    if (led) {
      readAt = now;
    } else if (vote.votes()) {
      readSometimes(now);
    }
  }

  private void write(CellRow next, long now) {
    store.write(next, now);
    if (context.shortcut() == Shortcut.ACT_BEFORE_WRITE) {
      learn(next, true, now);
    }
  }

  /** Takes over a row that stands in the table. */
  void learn(CellRow row, boolean writer, long now) {
    long number = vote.row().map(CellRow::number).orElse(0L);
    if (!vote.learn(row)) {
      return;
    }
    if (row.number() != number) {
      candidacy.numberChanged(Optional.ofNullable(leader).map(Leader::term), writer, now);
    }
    replicate(row);
  }

  private void replicate(CellRow row) {
    Optional<Election> own = candidacy.election();
    if (own.isPresent() || leader != null) {
      var term = own.map(Election::term).orElseGet(() -> leader.term());
      row.voters().stream()
          .filter(voter -> !voter.equals(context.self()))
          .forEach(voter -> send(voter.member(), new StoreRow(term, row)));
      own.filter(e -> vote.store(term, row))
          .ifPresent(e -> e.stored(context.self(), row.version()));
    }
  }

  void read(long readId, RowReadResult result, long now) {
    Optional<Long> startedAt = store.readEnded(readId, result, now);
    absent = startedAt.isPresent() && result instanceof RowReadResult.Absent;
    if (result instanceof RowReadResult.Found found) {
      learn(found.row(), store.wrote(found.row()), now);
      tellOthers(found.row());
      startedAt.ifPresent(at -> platformSeenAt.merge(found.row().number(), at, Math::max));
    }
  }

  void written(String operationId, RowWriteResult result, long now) {
    long startedAt = store.writtenAt();
    store
        .written(operationId, result, now)
        .ifPresent(
            row -> {
              platformSeenAt.merge(row.number(), startedAt, Math::max);
              learn(row, true, now);
              tellOthers(row);
            });
  }

  /** Spreads a row that has no leader yet, because its voters may not know of it. */
  private void tellOthers(CellRow row) {
    if (leader == null || leader.term().number() != row.number()) {
      context.outbox().add(new OwnershipEffect.RowPublished(row));
    }
  }

  PromiseReply promise(Voter candidate, PromiseRequest request, long now) {
    return vote.promise(candidate, request, now, context.options().leaderLeaseMillis());
  }

  void promised(Voter voter, long sentAt, PromiseReply reply, long now) {
    reply.row().ifPresent(row -> learn(row, false, now));
    vote.row().ifPresent(row -> candidacy.replied(voter, sentAt, reply, row));
  }

  void store(MemberId from, StoreRow message, long now) {
    learn(message.row(), false, now);
    boolean accepted = vote.store(message.term(), message.row());
    long version = vote.row().map(CellRow::version).orElse(0L);
    send(from, new RowStored(id, message.term(), accepted, version));
  }

  void stored(Voter voter, RowStored message) {
    candidacy
        .election()
        .filter(e -> message.accepted() && e.term().equals(message.term()))
        .ifPresent(e -> e.stored(voter, message.version()));
  }

  void sealRequested(MemberId from, SealRequest request, long now) {
    if (request.to().equals(context.self().incarnation())) {
      vote.seal(request.number());
    }
    List<String> claims = context.claims().claims(id);
    send(from, new SealReply(request.to(), id, request.number(), vote.held(now), claims));
  }

  /** Notes the seal of a voter; one of another incarnation than asked can promise no more. */
  void sealReplied(Voter replier, SealReply reply, long now) {
    Voter asked = new Voter(replier.member(), reply.to());
    liveness.answered(asked, replier, reply.led(), now);
    sealing.sealed(asked, reply.number());
    if (reply.number() > 0 && replier.equals(asked)) {
      context.outbox().add(new OwnershipEffect.ClaimsReceived(id, reply.number(), reply.claims()));
    }
  }

  void handedOver(MemberId from, HandOver message, long now) {
    boolean freed = vote.handOver(from, message.term());
    if (freed && message.successor().equals(context.self().member())) {
      candidacy.standSoon(now);
    }
  }

  void closed(NumberClosed message, long now) {
    learn(message.row(), false, now);
    sealing.close(message.number());
    if (message.successor().equals(context.self().member())) {
      candidacy.standSoon(now);
    }
  }

  void replied(UpstreamId upstream, UpstreamReply reply, long now) {
    if (leads(now)) {
      leader.replied(upstream, reply, now);
    }
  }

  /** Gives up the leadership in favour of the next controller. */
  void handOver() {
    if (leader != null) {
      leader = null;
      vote.row().ifPresent(candidacy::handOver);
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
