package dev.hornbeamwheel.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.claims.ClaimMessage.Verdict;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class ClaimReducerTest {
  private static final CellId CELL = CellId.of(ServiceId.of("order-desk"), 0);
  private static final MemberId ROUTER = MemberId.of("router");

  private final Map<MemberId, ClaimReducer> reducers = new HashMap<>();
  private final Map<MemberId, ClaimVoter> voters = new HashMap<>();
  private Verdict lastVerdict;
  private long nowMillis;

  @Test
  void recordsOnlyOneOfTwoRequestsWithSameKey() {
    learnTerm(term(1, "a"), List.of());
    assertThat(claim("a", 1, "r1", 7)).isEqualTo(Verdict.RECORDED);
    assertThat(claim("a", 1, "r2", 7)).isEqualTo(Verdict.RUNNING);
    assertThat(claim("a", 1, "r3", 8)).isEqualTo(Verdict.MISMATCH);
  }

  @Test
  void freesKeyOfWithdrawnClaimExceptForItsLateDuplicate() {
    learnTerm(term(1, "a"), List.of());
    claim("a", 1, "r1", 7);
    recordOutcome("a", "r1", ClaimState.WITHDRAWN);
    assertThat(claim("a", 1, "r1", 7)).isEqualTo(Verdict.RUNNING);
    assertThat(claim("a", 1, "r2", 7)).isEqualTo(Verdict.RECORDED);
  }

  @Test
  void transfersClaimsToVotersOfNextTerm() {
    ClaimTerm first = term(1, "a", "b", "c");
    learnTerm(first, List.of());
    claim("a", 1, "r1", 7);
    claim("b", 1, "r1", 7);
    learnTerm(term(2, "d", "e", "f"), List.of(first));
    assertThat(claim("a", 1, "r2", 7)).isEqualTo(Verdict.NOT_VOTER);
    assertThat(claim("d", 2, "r2", 7)).isEqualTo(Verdict.RUNNING);
    assertThat(claim("e", 2, "r3", 7)).isEqualTo(Verdict.RUNNING);
  }

  @Test
  void marksKeyUnknownIfVotersRecordedDifferentRequests() {
    ClaimTerm first = term(1, "a", "b", "c");
    learnTerm(first, List.of());
    claim("a", 1, "r1", 7);
    claim("b", 1, "r2", 7);
    claim("c", 1, "r2", 7);
    learnTerm(term(2, "d", "e", "f"), List.of(first));
    recordOutcome("d", "r1", ClaimState.WITHDRAWN);
    assertThat(claim("d", 2, "r3", 7)).isEqualTo(Verdict.UNKNOWN);
  }

  @Test
  void answersUnknownForRetentionTimeIfMajorityOfEarlierVotersIsLost() {
    ClaimTerm first = term(1, "a", "b", "c");
    learnTerm(first, List.of());
    reducers.remove(MemberId.of("a"));
    reducers.remove(MemberId.of("b"));
    learnTerm(term(2, "d", "e", "f"), List.of(first));
    assertThat(claim("d", 2, "r1", 7)).isEqualTo(Verdict.NOT_VOTER);
    tickAll(5_000);
    assertThat(claim("d", 2, "r1", 7)).isEqualTo(Verdict.UNKNOWN);
    tickAll(ClaimStore.RETENTION_MILLIS);
    assertThat(claim("d", 2, "r1", 7)).isEqualTo(Verdict.RECORDED);
  }

  @Test
  void answersNotVoterAfterRestart() {
    ClaimTerm first = term(1, "a");
    reducers.put(
        MemberId.of("a"),
        ClaimReducer.create(new ClaimVoter(MemberId.of("a"), Incarnation.of(99))));
    learnTerm(first, List.of());
    assertThat(claim("a", 1, "r1", 7)).isEqualTo(Verdict.NOT_VOTER);
  }

  private ClaimTerm term(long number, String... names) {
    List<ClaimVoter> termVoters = new ArrayList<>();
    for (String name : names) {
      ClaimVoter voter =
          voters.computeIfAbsent(MemberId.of(name), id -> new ClaimVoter(id, Incarnation.of(1)));
      reducers.computeIfAbsent(voter.member(), id -> ClaimReducer.create(voter));
      termVoters.add(voter);
    }
    return new ClaimTerm(number, termVoters);
  }

  private void learnTerm(ClaimTerm term, List<ClaimTerm> predecessors) {
    term.voters()
        .forEach(
            v ->
                deliver(
                    v.member(), new ClaimEvent.RowLearned(nowMillis, CELL, term, predecessors)));
  }

  private void tickAll(long millis) {
    nowMillis += millis;
    List.copyOf(reducers.keySet()).forEach(m -> deliver(m, new ClaimEvent.Tick(nowMillis)));
  }

  private Verdict claim(String voter, long term, String request, long fingerprint) {
    lastVerdict = null;
    send(
        voter,
        new ClaimMessage.Claim(
            CELL, term, contract(), key(), fingerprint, RequestId.of(request), 1));
    return lastVerdict;
  }

  private void recordOutcome(String voter, String request, ClaimState state) {
    send(
        voter,
        new ClaimMessage.RecordOutcome(
            CELL, contract(), key(), RequestId.of(request), 1, state, 0));
  }

  private void send(String voter, ClaimMessage message) {
    MemberId member = MemberId.of(voter);
    deliver(member, new ClaimEvent.Received(nowMillis, ROUTER, Incarnation.of(1), message));
  }

  private void deliver(MemberId member, ClaimEvent event) {
    ClaimReducer reducer = reducers.get(member);
    if (reducer != null) {
      reducer.reduce(event).forEach(effect -> perform(member, (ClaimEffect.Send) effect));
    }
  }

  private void perform(MemberId from, ClaimEffect.Send send) {
    if (send.message() instanceof ClaimMessage.ClaimAnswer answer) {
      lastVerdict = answer.verdict();
    } else if (!send.to().equals(ROUTER)) {
      deliver(
          send.to(), new ClaimEvent.Received(nowMillis, from, Incarnation.of(1), send.message()));
    }
  }

  private static ContractId contract() {
    return ContractId.of("mill");
  }

  private static IdempotencyKey key() {
    return IdempotencyKey.of("order-1");
  }
}
