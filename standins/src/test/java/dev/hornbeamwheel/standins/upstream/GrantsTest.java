package dev.hornbeamwheel.standins.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Epoch;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.Term;
import dev.hornbeamwheel.core.ownership.SliceGrant;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.core.ownership.UpstreamReply.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

class GrantsTest {
  private static final CellId CELL = CellId.of(ServiceId.of("ledger"), 0);
  private static final Incarnation SELF = Incarnation.of(5);
  private static final Slice SLICE = Slice.ofShard(3);
  private static final Term OLD = Term.of(1, 0);
  private static final Term NEW = Term.of(1, 1);

  private final Grants grants = new Grants(Fencing.CHECKED, SELF);
  private final Grants unchecked = new Grants(Fencing.UNCHECKED, SELF);

  @Test
  void aGrantedSliceIsHeldUntilItsLeaseLapses() {
    assertThat(obey(grants, replace(NEW, SELF, 100, 9), 0).outcome()).isEqualTo(Outcome.DONE);
    assertThat(grants.check(SLICE, Epoch.of(9), 99)).isInstanceOf(Grants.Check.Held.class);
    assertThat(grants.check(SLICE, Epoch.of(9), 100))
        .isEqualTo(new Grants.Check.Refused(RefusalReason.NOT_OWNER));
  }

  @Test
  void aRequestOfAnotherEpochIsRefusedOnlyWithCheckedFencing() {
    obey(grants, replace(NEW, SELF, 100, 9), 0);
    obey(unchecked, replace(NEW, SELF, 100, 9), 0);
    assertThat(grants.check(SLICE, Epoch.of(8), 1))
        .isEqualTo(new Grants.Check.Refused(RefusalReason.STALE_EPOCH));
    assertThat(unchecked.check(SLICE, Epoch.of(8), 1)).isInstanceOf(Grants.Check.Held.class);
  }

  @Test
  void anOrderOfAnOlderTermIsRefusedOnlyWithCheckedFencing() {
    obey(grants, replace(NEW, SELF, 100, 9), 0);
    obey(unchecked, replace(NEW, SELF, 100, 9), 0);
    assertThat(obey(grants, replace(OLD, SELF, 200, 4), 1).outcome()).isEqualTo(Outcome.STALE_TERM);
    assertThat(obey(unchecked, replace(OLD, SELF, 200, 4), 1).outcome()).isEqualTo(Outcome.DONE);
    assertThat(grants.check(SLICE, Epoch.of(9), 1)).isInstanceOf(Grants.Check.Held.class);
  }

  @Test
  void aLateChangeWithinATermIsRefusedOnlyWithCheckedFencing() {
    UpstreamOrder release = new UpstreamOrder.Release(CELL, 10, NEW, SELF, 100, 10, List.of(SLICE));
    obey(grants, release, 0);
    obey(unchecked, release, 0);
    assertThat(obey(grants, replace(NEW, SELF, 100, 9), 1).outcome()).isEqualTo(Outcome.STALE_TERM);
    assertThat(obey(unchecked, replace(NEW, SELF, 100, 9), 1).outcome()).isEqualTo(Outcome.DONE);
    assertThat(grants.holds(SLICE, 2)).isFalse();
  }

  @Test
  void anOrderForAnotherIncarnationOrPastItsExpiryIsRefusedWithEitherFencing() {
    assertThat(List.of(grants, unchecked))
        .allSatisfy(
            either -> {
              assertThat(obey(either, replace(NEW, Incarnation.of(4), 100, 9), 0).outcome())
                  .isEqualTo(Outcome.OTHER_INCARNATION);
              assertThat(obey(either, replace(NEW, SELF, 100, 9), 100).outcome())
                  .isEqualTo(Outcome.EXPIRED);
              assertThat(either.holds(SLICE, 0)).isFalse();
            });
  }

  @Test
  void aLapsedLeaseIsNotRenewed() {
    obey(grants, replace(NEW, SELF, 100, 9), 0);
    UpstreamReply reply = obey(grants, renew(300), 150);
    assertThat(reply.outcome()).isEqualTo(Outcome.DONE);
    assertThat(reply.setVersion()).isZero();
    assertThat(grants.holds(SLICE, 160)).isFalse();
  }

  @Test
  void aRenewalExtendsTheLease() {
    obey(grants, replace(NEW, SELF, 100, 9), 0);
    assertThat(obey(grants, renew(300), 50).setVersion()).isEqualTo(9);
    assertThat(grants.holds(SLICE, 299)).isTrue();
  }

  @Test
  void aReleasedSliceIsRefusedAndItsRunningRequestsAreCounted() {
    obey(grants, replace(NEW, SELF, 100, 9), 0);
    UpstreamOrder release = new UpstreamOrder.Release(CELL, 10, NEW, SELF, 100, 10, List.of(SLICE));
    assertThat(obey(grants, release, 1).running()).isEqualTo(2);
    assertThat(grants.check(SLICE, Epoch.of(9), 2))
        .isEqualTo(new Grants.Check.Refused(RefusalReason.NOT_OWNER));
  }

  @Test
  void aRequestThatOutlivesItsLeaseIsNotCoveredByTheNextOne() {
    obey(grants, replace(NEW, SELF, 100, 9), 0);
    Grants.Holding holding = ((Grants.Check.Held) grants.check(SLICE, Epoch.of(9), 1)).holding();
    assertThat(grants.unbroken(holding, 99)).isTrue();
    obey(grants, replace(NEW, SELF, 300, 11), 150);
    assertThat(grants.unbroken(holding, 151)).isFalse();
  }

  private static UpstreamReply obey(Grants grants, UpstreamOrder order, long nowMillis) {
    return grants.obey(order, nowMillis, slices -> 2);
  }

  private static UpstreamOrder replace(
      Term term, Incarnation target, long expiry, long epochAndSet) {
    return new UpstreamOrder.Replace(
        CELL,
        epochAndSet,
        term,
        target,
        expiry,
        epochAndSet,
        List.of(new SliceGrant(SLICE, Epoch.of(epochAndSet))));
  }

  private static UpstreamOrder renew(long expiry) {
    return new UpstreamOrder.Renew(CELL, 1, NEW, SELF, expiry);
  }
}
