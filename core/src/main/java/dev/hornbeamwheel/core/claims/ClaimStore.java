package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.claims.ClaimMessage.Verdict;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.MemberId;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The part of one voter in keeping the claims of one cell. */
final class ClaimStore {
  /** Time for which a claim is remembered. */
  static final long RETENTION_MILLIS = 600_000;

  /** Time between two requests for the claims of earlier voters. */
  private static final long SEAL_RETRY_MILLIS = 250;

  /** Time after which the claims of earlier voters are given up. */
  private static final long SEAL_PATIENCE_MILLIS = 3_000;

  private final CellId cell;
  private final ClaimVoter self;
  private final Claims claims = new Claims();
  private ClaimTerm term = new ClaimTerm(0, List.of());
  private List<ClaimTerm> predecessors = List.of();
  private final Set<ClaimVoter> handedOver = new HashSet<>();
  private boolean pastKnown;
  private boolean open;
  private boolean complete;
  private long previousNumber;
  private boolean previousComplete;
  private long sealedBelow;
  private long learnedAtMillis;
  private long askedAtMillis;
  private long unknownUntilMillis;

  ClaimStore(CellId cell, ClaimVoter self) {
    this.cell = cell;
    this.self = self;
  }

  int size() {
    return claims.size();
  }

  void learn(ClaimEvent.RowLearned learned, List<ClaimEffect> effects) {
    if (learned.term().number() <= term.number()) {
      return;
    }
    if (complete || !votes()) {
      previousNumber = term.number();
      previousComplete = complete;
    }
    term = learned.term();
    predecessors = learned.predecessors();
    sealedBelow = Math.max(sealedBelow, term.number());
    handedOver.clear();
    pastKnown = term.number() == 1 || (previousComplete && predecessor(previousNumber));
    open = false;
    complete = false;
    learnedAtMillis = learned.atMillis();
    if (votes()) {
      handedOver.add(self);
      openIfComplete();
      ask(learned.atMillis(), effects);
    }
  }

  void tick(long nowMillis, List<ClaimEffect> effects) {
    claims.forgetBefore(nowMillis - RETENTION_MILLIS);
    if (!votes() || complete) {
      return;
    }
    if (nowMillis - askedAtMillis >= SEAL_RETRY_MILLIS) {
      ask(nowMillis, effects);
    }
    if (!open && nowMillis - learnedAtMillis >= SEAL_PATIENCE_MILLIS) {
      open = true;
      unknownUntilMillis = nowMillis + RETENTION_MILLIS;
    }
    complete = open && nowMillis >= unknownUntilMillis;
  }

  void receive(ClaimEvent.Received received, List<ClaimEffect> effects) {
    MemberId from = received.from();
    long now = received.atMillis();
    if (received.message() instanceof ClaimMessage.Claim claim) {
      send(from, answer(claim, now), effects);
    } else if (received.message() instanceof ClaimMessage.Settle settle) {
      claims.settle(settle);
      send(from, new ClaimMessage.Settled(cell, settle.requestId()), effects);
    } else if (received.message() instanceof ClaimMessage.SealClaims seal) {
      seal(from, seal, now, effects);
    } else if (received.message() instanceof ClaimMessage.SealedClaims sealed) {
      takeOver(new ClaimVoter(from, received.incarnation()), sealed, now);
    }
  }

  private ClaimMessage.ClaimAnswer answer(ClaimMessage.Claim claim, long nowMillis) {
    boolean mine = open && votes() && claim.termNumber() == term.number();
    Verdict verdict = Verdict.NOT_VOTER;
    if (mine && sealedBelow <= term.number()) {
      verdict = complete ? claims.claim(claim, nowMillis) : Verdict.UNKNOWN;
    }
    int status = verdict == Verdict.COMPLETED ? claims.statusOf(claim.contract(), claim.key()) : 0;
    return new ClaimMessage.ClaimAnswer(
        cell, claim.termNumber(), claim.requestId(), claim.round(), verdict, status);
  }

  private void seal(
      MemberId from, ClaimMessage.SealClaims seal, long nowMillis, List<ClaimEffect> effects) {
    sealedBelow = Math.max(sealedBelow, seal.number());
    boolean pending = seal.number() == term.number() && !complete;
    long ownNumber = pending ? previousNumber : term.number();
    boolean whole = pending ? previousComplete : complete;
    send(
        from,
        new ClaimMessage.SealedClaims(
            cell, seal.number(), ownNumber, claims.records(nowMillis), whole),
        effects);
  }

  private void takeOver(ClaimVoter from, ClaimMessage.SealedClaims sealed, long nowMillis) {
    if (complete || sealed.number() != term.number() || !votes()) {
      return;
    }
    claims.merge(sealed.records(), nowMillis);
    pastKnown |= sealed.complete() && predecessor(sealed.ownNumber());
    if (sealed.ownNumber() == term.number() && term.voters().contains(from)) {
      complete = sealed.complete();
      open = complete;
      return;
    }
    boolean voted = predecessors.stream().anyMatch(p -> p.voters().contains(from));
    if (voted) {
      handedOver.add(from);
    }
    openIfComplete();
  }

  private void openIfComplete() {
    if (pastKnown && predecessors.stream().allMatch(this::handedOver)) {
      open = true;
      complete = true;
    }
  }

  private boolean handedOver(ClaimTerm predecessor) {
    long count = predecessor.voters().stream().filter(v -> handedOver.contains(v)).count();
    return count >= predecessor.majority();
  }

  private void ask(long nowMillis, List<ClaimEffect> effects) {
    askedAtMillis = nowMillis;
    if (complete) {
      return;
    }
    ClaimMessage message = new ClaimMessage.SealClaims(cell, term.number());
    Set<MemberId> asked = new HashSet<>();
    predecessors.forEach(p -> p.voters().forEach(v -> asked.add(v.member())));
    term.voters().forEach(v -> asked.add(v.member()));
    asked.remove(self.member());
    asked.stream().sorted().forEach(member -> send(member, message, effects));
  }

  private boolean votes() {
    return term.voters().contains(self);
  }

  private boolean predecessor(long number) {
    return predecessors.stream().anyMatch(p -> p.number() == number);
  }

  private void send(MemberId to, ClaimMessage message, List<ClaimEffect> effects) {
    effects.add(new ClaimEffect.Send(to, message));
  }
}
