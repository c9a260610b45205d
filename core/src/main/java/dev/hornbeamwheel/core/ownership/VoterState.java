package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseReply;
import dev.hornbeamwheel.core.ownership.OwnershipMessage.PromiseRequest;
import java.util.Optional;

/** Holds the promises and seals of this controller for one cell, in memory since it started. */
final class VoterState {
  private final Voter self;
  private CellRow row;
  private long sealedUpTo;
  private Term promised = Term.NONE;
  private Voter promisedTo;
  private long promiseExpiresAt;

  VoterState(Voter self) {
    this.self = self;
  }

  Optional<CellRow> row() {
    return Optional.ofNullable(row);
  }

  Term promised() {
    return promised;
  }

  /** Adopts a row committed to the table; returns whether it is newer than the known one. */
  boolean learn(CellRow next) {
    if (row != null && next.version() <= row.version()) {
      return false;
    }
    if (row == null || next.termNumber() != row.termNumber()) {
      promised = Term.of(next.termNumber(), 0);
      promisedTo = null;
    }
    row = next;
    return true;
  }

  boolean votes() {
    return row != null && row.voters().contains(self);
  }

  boolean sealed(long termNumber) {
    return termNumber <= sealedUpTo;
  }

  void seal(long termNumber) {
    sealedUpTo = Math.max(sealedUpTo, termNumber);
  }

  /** Returns whether an unexpired promise to another controller exists. */
  boolean promisedToOther(long now) {
    return promiseActive(now) && !promisedTo.equals(self);
  }

  /** Returns whether an unexpired promise to any controller exists. */
  boolean promiseActive(long now) {
    return promisedTo != null && now < promiseExpiresAt;
  }

  PromiseReply promise(Voter candidate, PromiseRequest request, long now, long leaseMillis) {
    boolean granted = mayPromise(candidate, request.term(), now);
    if (granted) {
      promised = request.term();
      promisedTo = candidate;
      promiseExpiresAt = now + leaseMillis;
    }
    long version = row == null ? 0 : row.version();
    Optional<CellRow> newer = row().filter(known -> known.version() > request.rowVersion());
    return new PromiseReply(request.cell(), request.term(), granted, promised, version, newer);
  }

  private boolean mayPromise(Voter candidate, Term term, long now) {
    return row != null
        && row.termNumber() == term.number()
        && !sealed(term.number())
        && (votes() || row.witnesses().contains(self))
        && (promisedTo == null || promisedTo.equals(candidate) || now >= promiseExpiresAt)
        && (term.isAfter(promised) || (term.equals(promised) && candidate.equals(promisedTo)));
  }

  /** Stores a row; returns whether this counts towards a majority in the given term. */
  boolean store(Term term, CellRow next) {
    learn(next);
    return row.termNumber() == term.number()
        && !sealed(term.number())
        && votes()
        && !promised.isAfter(term);
  }

  /** Ends a promise when its holder gives it up; returns whether the promise was outstanding. */
  boolean endPromise(MemberId from, Term term) {
    if (promisedTo == null || !promisedTo.member().equals(from) || !promised.equals(term)) {
      return false;
    }
    promiseExpiresAt = Long.MIN_VALUE;
    return true;
  }
}
