package dev.hornbeamwheel.core.host.cold;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Leases on cold upstreams, through changes of the coordinator and late messages. */
final class ColdLeasesTest {
  private static final DataCentreId VANNES = DataCentreId.of("vannes");
  private static final UpstreamRegistration COLD = upstream(VANNES);
  private static final double COLD_PER_SECOND = 2.6;
  private static final long SETTLED_MILLIS = ColdLease.DURATION_MILLIS + 1_000;
  private static final int STEP_MILLIS = 100;
  private static final int MAX_DELAY_MILLIS = 3_000;

  /** A request or a lease on its way. */
  private record Message(long dueMillis, int host, Runnable arrival) {}

  private static UpstreamRegistration upstream(DataCentreId dataCentre) {
    return new UpstreamRegistration(
        new UpstreamIncarnation(UpstreamId.of("i-196c380b1d"), 1),
        ServiceId.of("order-desk"),
        new Address("10.0.0.1", 80),
        dataCentre,
        2,
        false,
        Long.MAX_VALUE);
  }

  private static ColdAllowance holderSince(long millis) {
    ColdAllowance allowance = ColdAllowance.create(VANNES);
    assertThat(allowance.requestDue(millis, 1)).isPresent();
    allowance.granted(millis, new ColdLease(1, Set.of(ColdPartitions.of(COLD.id()))));
    return allowance;
  }

  @Test
  void aHostWithoutALeaseSendsNothing() {
    assertThat(ColdAllowance.create(VANNES).canSend(9_000, COLD, COLD_PER_SECOND)).isFalse();
  }

  @Test
  void aHolderSendsOneRequestASecondAtMostUntilItsLeaseExpires() {
    ColdAllowance allowance = holderSince(0);

    List<Long> sent = new ArrayList<>();
    for (long now = 0; now < 2 * ColdLease.DURATION_MILLIS; now += STEP_MILLIS) {
      if (allowance.canSend(now, COLD, COLD_PER_SECOND)) {
        allowance.recordSend(now, COLD, COLD_PER_SECOND);
        sent.add(now);
      }
    }

    assertThat(sent).containsExactly(1_000L, 2_000L, 3_000L, 4_000L, 5_000L);
  }

  @Test
  void aHolderSendsNothingToAnotherDataCentre() {
    UpstreamRegistration remote = upstream(DataCentreId.of("morlaix"));

    assertThat(holderSince(0).canSend(2_000, remote, COLD_PER_SECOND)).isFalse();
  }

  /** Guards against a lease that counts from a later time than that of its request. */
  @Test
  void aLateLeaseExpiresEarlier() {
    ColdAllowance allowance = ColdAllowance.create(VANNES);
    assertThat(allowance.requestDue(0, 1)).isPresent();
    ColdLease lease = new ColdLease(1, Set.of(ColdPartitions.of(COLD.id())));

    allowance.granted(ColdLease.DURATION_MILLIS - 1, lease);

    assertThat(allowance.partitions(ColdLease.DURATION_MILLIS - 1)).isNotEmpty();
    assertThat(allowance.partitions(ColdLease.DURATION_MILLIS)).isEmpty();
  }

  @Test
  void aNewCoordinatorGrantsNothingThatAnEarlierOneMayHaveGranted() {
    ColdLeases leases = ColdLeases.startTerm(0);
    ColdLeaseRequest nothing = new ColdLeaseRequest(Set.of());

    assertThat(leases.renew(6_000, VANNES, HostId.of("a"), nothing, 1)).isEmpty();
    assertThat(leases.renew(SETTLED_MILLIS, VANNES, HostId.of("a"), nothing, 1))
        .hasSize(ColdPartitions.COUNT);
  }

  @Test
  void aNewCoordinatorTakesOverTheLeasesThatHostsHold() {
    ColdLeases leases = ColdLeases.startTerm(0);
    ColdLeaseRequest held = new ColdLeaseRequest(Set.of(3, 4, ColdPartitions.COUNT, -1));

    assertThat(leases.renew(10, VANNES, HostId.of("a"), held, 2)).containsExactly(3, 4);
  }

  @Test
  void hostsGetEqualShares() {
    ColdLeases leases = ColdLeases.startTerm(0);
    ColdLeaseRequest nothing = new ColdLeaseRequest(Set.of());

    List<Integer> sizes =
        IntStream.range(0, 48)
            .mapToObj(
                host ->
                    leases
                        .renew(SETTLED_MILLIS, VANNES, HostId.of("h-" + host), nothing, 48)
                        .size())
            .toList();

    assertThat(sizes).containsOnly(ColdLeases.MAX_HOLDERS * ColdPartitions.COUNT / 48);
  }

  /** Guards against more holders of a partition than its upstreams can bear. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void noPartitionHasTooManyHoldersThroughChangesOfTheCoordinator(long seed) {
    Random random = new Random(seed);
    int hosts = 1 + random.nextInt(30);
    List<ColdAllowance> allowances =
        new ArrayList<>(
            IntStream.range(0, hosts).mapToObj(host -> ColdAllowance.create(VANNES)).toList());
    List<Message> messages = new ArrayList<>();
    ColdLeases leases = ColdLeases.startTerm(0);
    long number = 1;
    for (long now = 0; now < 60_000; now += STEP_MILLIS) {
      if (random.nextInt(60) == 0) {
        leases = ColdLeases.startTerm(now);
        messages.clear();
      }
      if (random.nextInt(40) == 0) {
        int restarted = random.nextInt(hosts);
        allowances.set(restarted, ColdAllowance.create(VANNES));
        messages.removeIf(message -> message.host() == restarted);
      }
      for (int host = 0; host < hosts; host++) {
        if (random.nextInt(3) > 0) {
          ask(random, messages, leases, allowances, host, now, number++, hosts);
        }
      }
      deliver(messages, now);
      assertHolders(allowances, now);
    }
  }

  private static void ask(
      Random random,
      List<Message> messages,
      ColdLeases leases,
      List<ColdAllowance> allowances,
      int host,
      long now,
      long number,
      int hosts) {
    Optional<ColdLeaseRequest> request = allowances.get(host).requestDue(now, number);
    request.ifPresent(
        asked -> {
          long arrives = now + delayMillis(random);
          long returns = arrives + delayMillis(random);
          messages.add(
              new Message(
                  arrives,
                  host,
                  () -> {
                    Set<Integer> partitions =
                        leases.renew(arrives, VANNES, HostId.of("h-" + host), asked, hosts);
                    messages.add(
                        new Message(
                            returns,
                            host,
                            () ->
                                allowances
                                    .get(host)
                                    .granted(returns, new ColdLease(number, partitions))));
                  }));
        });
  }

  private static long delayMillis(Random random) {
    long delay = random.nextInt(10) == 0 ? random.nextInt(MAX_DELAY_MILLIS) : 0;
    return delay - delay % STEP_MILLIS;
  }

  private static void deliver(List<Message> messages, long now) {
    List<Message> due = messages.stream().filter(message -> message.dueMillis() <= now).toList();
    messages.removeAll(due);
    due.forEach(message -> message.arrival().run());
    if (messages.stream().anyMatch(message -> message.dueMillis() <= now)) {
      deliver(messages, now);
    }
  }

  private static void assertHolders(List<ColdAllowance> allowances, long now) {
    int[] holders = new int[ColdPartitions.COUNT];
    allowances.forEach(
        allowance -> allowance.partitions(now).forEach(partition -> holders[partition]++));
    assertThat(IntStream.of(holders).max().orElseThrow())
        .isLessThanOrEqualTo(ColdLeases.MAX_HOLDERS);
  }
}
