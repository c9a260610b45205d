package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.ownership.SliceGrant;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** An upstream that obeys each order at once; leases are not its concern. */
final class ObedientUpstream {
  private static final Incarnation INCARNATION = Incarnation.of(1);

  private final Map<CellId, Set<Slice>> held = new HashMap<>();
  private final Map<CellId, Long> setVersions = new HashMap<>();

  UpstreamReply obey(UpstreamOrder order, long nowMillis) {
    if (order instanceof UpstreamOrder.Replace replace) {
      held.put(
          order.cell(),
          replace.grants().stream()
              .map(SliceGrant::slice)
              .collect(Collectors.toCollection(TreeSet::new)));
      setVersions.put(order.cell(), replace.setVersion());
    } else if (order instanceof UpstreamOrder.Release release) {
      held.getOrDefault(order.cell(), new TreeSet<>()).removeAll(release.slices());
      setVersions.put(order.cell(), release.setVersion());
    }
    return new UpstreamReply(
        order.cell(),
        order.orderId(),
        INCARNATION,
        nowMillis,
        UpstreamReply.Outcome.DONE,
        setVersions.getOrDefault(order.cell(), 0L),
        0);
  }

  Stream<Slice> held() {
    return held.values().stream().flatMap(Collection::stream);
  }
}
