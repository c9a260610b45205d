package dev.hornbeamwheel.controller;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.core.ownership.OwnershipEvent;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.runtime.member.PlatformErrors;
import dev.hornbeamwheel.runtime.metrics.Metrics;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class OrderSenderTest {
  private static final UpstreamOrder FIRST = new UpstreamOrder.ReadClock(Samples.CELL, 1);
  private static final UpstreamOrder SECOND = new UpstreamOrder.ReadClock(Samples.CELL, 2);

  private final FakePlatform platform = new FakePlatform();
  private final List<NodeEvent> events = new ArrayList<>();
  private final OrderSender sender =
      new OrderSender(
          platform.services().orders(),
          event -> events.add(event.apply(1)),
          new PlatformErrors(Metrics.empty()));

  @BeforeEach
  void configure() {
    sender.configure(Samples.configuration(1));
  }

  @Test
  void sendsTheOrdersOfOneEventInOneMessage() {
    sender.add(Samples.UPSTREAM, FIRST);
    sender.add(Samples.UPSTREAM, SECOND);
    assertThat(platform.orders).isEmpty();
    sender.flush();
    sender.flush();

    assertThat(platform.orders).containsExactly(List.of(FIRST, SECOND));
    assertThat(events).hasSize(2).allMatch(OrderSenderTest::isReply);
  }

  @Test
  void reportsEachOrderToAnUnreachableOrUndeclaredUpstream() {
    platform.upstreamsReachable = false;
    sender.add(Samples.UPSTREAM, FIRST);
    sender.flush();
    UpstreamId undeclared = UpstreamId.of("undeclared");
    sender.add(undeclared, SECOND);
    sender.flush();

    assertThat(events)
        .containsExactly(
            new NodeEvent.Ownership(new OwnershipEvent.UpstreamUnreachable(1, Samples.UPSTREAM, 1)),
            new NodeEvent.Ownership(new OwnershipEvent.UpstreamUnreachable(1, undeclared, 2)));
  }

  private static boolean isReply(NodeEvent event) {
    return event instanceof NodeEvent.Ownership owned
        && owned.event() instanceof OwnershipEvent.UpstreamReplied;
  }
}
