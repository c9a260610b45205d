package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.claims.ClaimMessage.Verdict;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Stores the claims of one cell on one voter, and transfers them between terms. */
final class ClaimStore {
  /** How long a claim is stored. */
  static final long RETENTION_MILLIS = 600_000;

  /** Interval between requests for the claims of earlier terms. */
  private static final long SEAL_RETRY_INTERVAL_MILLIS = 250;

  /** Time after which this voter no longer waits for the claims of earlier terms. */
  private static final long SEAL_TIMEOUT_MILLIS = 3_000;

  private final CellId cell;
  private final ClaimVoter self;
  private final ClaimTable claims = new ClaimTable();
  private ClaimTerm term = new ClaimTerm(0, List.of());
  private List<ClaimTerm> predecessors = List.of();
  private final Set<ClaimVoter> transferredVoters = new HashSet<>();
  private boolean earlierClaimsKnown;
  private boolean acceptingClaims;
  private boolean complete;
  private long previousTermNumber;
  private boolean previousComplete;
  private long sealedBelowTermNumber;
  private long termLearnedAtMillis;
  private long sealRequestedAtMillis;
  private long unknownUntilMillis;

  ClaimStore(CellId cell, ClaimVoter self) {
    this.cell = cell;
    this.self = self;
  }

  int size() {
    return claims.size();
  }

  void learnTerm(ClaimEvent.RowLearned learned, List<ClaimEffect> effects) {
    if (learned.term().number() <= term.number()) {
      return;
    }
    if (complete || !isVoter()) {
      previousTermNumber = term.number();
      previousComplete = complete;
    }
    term = learned.term();
    predecessors = learned.predecessors();
    sealedBelowTermNumber = Math.max(sealedBelowTermNumber, term.number());
    transferredVoters.clear();
    earlierClaimsKnown =
        term.number() == 1 || (previousComplete && isPredecessor(previousTermNumber));
    acceptingClaims = false;
    complete = false;
    termLearnedAtMillis = learned.atMillis();
    if (isVoter()) {
      transferredVoters.add(self);
      acceptClaimsIfComplete();
      requestSealedClaims(learned.atMillis(), effects);
    }
  }

  void tick(long nowMillis, List<ClaimEffect> effects) {
    claims.removeBefore(nowMillis - RETENTION_MILLIS);
    if (!isVoter() || complete) {
      return;
    }
    if (nowMillis - sealRequestedAtMillis >= SEAL_RETRY_INTERVAL_MILLIS) {
      requestSealedClaims(nowMillis, effects);
    }
    if (!acceptingClaims && nowMillis - termLearnedAtMillis >= SEAL_TIMEOUT_MILLIS) {
      acceptingClaims = true;
      unknownUntilMillis = nowMillis + RETENTION_MILLIS;
    }
    complete = acceptingClaims && nowMillis >= unknownUntilMillis;
  }

  void receive(ClaimEvent.Received received, List<ClaimEffect> effects) {
    MemberId from = received.from();
    long now = received.atMillis();
    if (received.message() instanceof ClaimMessage.Claim claim) {
      send(from, answer(claim, now), effects);
    } else if (received.message() instanceof ClaimMessage.RecordOutcome outcome) {
      claims.recordOutcome(outcome);
      send(from, new ClaimMessage.OutcomeRecorded(cell, outcome.requestId()), effects);
    } else if (received.message() instanceof ClaimMessage.SealClaims seal) {
      seal(from, seal, now, effects);
    } else if (received.message() instanceof ClaimMessage.SealedClaims sealed) {
      mergeSealedClaims(new ClaimVoter(from, received.incarnation()), sealed, now);
    }
  }

  private ClaimMessage.ClaimAnswer answer(ClaimMessage.Claim claim, long nowMillis) {
    boolean currentTerm = acceptingClaims && isVoter() && claim.termNumber() == term.number();
    Verdict verdict = Verdict.NOT_VOTER;
    if (currentTerm && sealedBelowTermNumber <= term.number()) {
      verdict = complete ? claims.claim(claim, nowMillis) : Verdict.UNKNOWN;
    }
    int status = verdict == Verdict.COMPLETED ? claims.statusOf(claim.contract(), claim.key()) : 0;
    return new ClaimMessage.ClaimAnswer(
        cell, claim.termNumber(), claim.requestId(), claim.round(), verdict, status);
  }

  private void seal(
      MemberId from, ClaimMessage.SealClaims seal, long nowMillis, List<ClaimEffect> effects) {
    sealedBelowTermNumber = Math.max(sealedBelowTermNumber, seal.newTermNumber());
    boolean mergePending = seal.newTermNumber() == term.number() && !complete;
    long storedTermNumber = mergePending ? previousTermNumber : term.number();
    boolean storedComplete = mergePending ? previousComplete : complete;
    send(
        from,
        new ClaimMessage.SealedClaims(
            cell,
            seal.newTermNumber(),
            storedTermNumber,
            claims.records(nowMillis),
            storedComplete),
        effects);
  }

  private void mergeSealedClaims(
      ClaimVoter from, ClaimMessage.SealedClaims sealed, long nowMillis) {
    if (complete || sealed.newTermNumber() != term.number() || !isVoter()) {
      return;
    }
    claims.merge(sealed.records(), nowMillis);
    earlierClaimsKnown |= sealed.complete() && isPredecessor(sealed.voterTermNumber());
    if (sealed.voterTermNumber() == term.number() && term.voters().contains(from)) {
      complete = sealed.complete();
      acceptingClaims = complete;
      return;
    }
    boolean earlierVoter = predecessors.stream().anyMatch(p -> p.voters().contains(from));
    if (earlierVoter) {
      transferredVoters.add(from);
    }
    acceptClaimsIfComplete();
  }

  private void acceptClaimsIfComplete() {
    if (earlierClaimsKnown && predecessors.stream().allMatch(this::majorityTransferred)) {
      acceptingClaims = true;
      complete = true;
    }
  }

  private boolean majorityTransferred(ClaimTerm predecessor) {
    long count = predecessor.voters().stream().filter(v -> transferredVoters.contains(v)).count();
    return count >= predecessor.majority();
  }

  private void requestSealedClaims(long nowMillis, List<ClaimEffect> effects) {
    sealRequestedAtMillis = nowMillis;
    if (complete) {
      return;
    }
    ClaimMessage message = new ClaimMessage.SealClaims(cell, term.number());
    Set<MemberId> recipients = new HashSet<>();
    predecessors.forEach(p -> p.voters().forEach(v -> recipients.add(v.member())));
    term.voters().forEach(v -> recipients.add(v.member()));
    recipients.remove(self.member());
    recipients.stream().sorted().forEach(member -> send(member, message, effects));
  }

  private boolean isVoter() {
    return term.voters().contains(self);
  }

  private boolean isPredecessor(long number) {
    return predecessors.stream().anyMatch(p -> p.number() == number);
  }

  private void send(MemberId to, ClaimMessage message, List<ClaimEffect> effects) {
    effects.add(new ClaimEffect.Send(to, message));
  }
}
