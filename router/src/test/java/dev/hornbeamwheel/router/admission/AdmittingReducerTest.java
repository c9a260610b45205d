package dev.hornbeamwheel.router.admission;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.ContractId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.RequestId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.node.NodeIdentity;
import dev.hornbeamwheel.core.node.RouterNode;
import dev.hornbeamwheel.core.routing.RoutingEvent;
import dev.hornbeamwheel.runtime.member.MemberItemCodec;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class AdmittingReducerTest {
  private static final ContractId CONTRACT = ContractId.of("mills");

  private final AdmittingReducer reducer =
      AdmittingReducer.of(
          RouterNode.create(
              new NodeIdentity(
                  MemberId.of("a/router"),
                  Incarnation.of(1),
                  DataCentreId.of("a"),
                  "127.0.0.1:1",
                  1),
              MemberItemCodec.create()));

  @Test
  void requestWithoutAnyShareWaitsAndIsThenRefusedAsNotRun() {
    reducer.reduce(new NodeEvent.ConfigurationRead(0, configuration()));

    assertThat(refusals(arrive(10, CONTRACT))).isEmpty();
    assertThat(refusals(tick(400))).isEmpty();
    assertThat(refusals(tick(600))).hasSize(1);
  }

  @Test
  void requestOfAnUnknownContractIsRefusedAtOnce() {
    assertThat(refusals(arrive(10, ContractId.of("unknown")))).hasSize(1);
  }

  @Test
  void requestDoesNotWaitBeyondItsDeadline() {
    reducer.reduce(new NodeEvent.ConfigurationRead(0, configuration()));
    arrive(10, CONTRACT, 100);
    long refused =
        LongStream.rangeClosed(11, 200)
            .mapToObj(this::tick)
            .flatMap(e -> refusals(e).stream())
            .count();
    assertThat(refused).isEqualTo(1);
  }

  private List<RouterEffect> tick(long millis) {
    return reducer.reduce(new NodeEvent.Tick(millis));
  }

  private List<RouterEffect> arrive(long millis, ContractId contract) {
    return arrive(millis, contract, millis + 5_000);
  }

  private List<RouterEffect> arrive(long millis, ContractId contract, long deadlineMillis) {
    return reducer.reduce(
        new NodeEvent.Routing(
            new RoutingEvent.RequestArrived(
                millis,
                RequestId.of("r-1"),
                contract,
                ServiceId.of("desk"),
                null,
                true,
                null,
                1,
                deadlineMillis)));
  }

  private static List<RouterEffect> refusals(List<RouterEffect> effects) {
    return effects.stream().filter(RouterEffect.LimitReached.class::isInstance).toList();
  }

  private static Configuration configuration() {
    Contract contract =
        new Contract(CONTRACT, "0".repeat(64), 10, 10, 10, Set.of(ServiceId.of("desk")));
    return new Configuration(
        1,
        new Declarations(
            List.of(), List.of(), List.of(), List.of(contract), Set.of(), Set.of(), Set.of()));
  }
}
