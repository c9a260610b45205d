package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.node.NodeEffect;
import dev.hornbeamwheel.core.ownership.OwnershipEffect;
import dev.hornbeamwheel.runtime.loop.EffectPerformer;
import dev.hornbeamwheel.runtime.member.MemberIo;

/** Carries out the effects of a controller, on the event loop. */
final class ControllerPerformer implements EffectPerformer<NodeEffect> {
  private final MemberIo io;
  private final CellTable cells;
  private final SharesTable shares;
  private final OrderSender orders;
  private final ControllerMetrics metrics;

  ControllerPerformer(
      MemberIo io,
      CellTable cells,
      SharesTable shares,
      OrderSender orders,
      ControllerMetrics metrics) {
    this.io = io;
    this.cells = cells;
    this.shares = shares;
    this.orders = orders;
    this.metrics = metrics;
  }

  @Override
  public void perform(NodeEffect effect) {
    if (effect instanceof NodeEffect.Log log) {
      metrics.decided(log.decision());
    }
    if (io.perform(effect)) {
      return;
    }
    if (effect instanceof NodeEffect.Ownership owned) {
      performOwnership(owned.effect());
    } else if (effect instanceof NodeEffect.Limits limits) {
      shares.perform(limits.effect());
    } else if (effect instanceof NodeEffect.ConfigurationInForce inForce) {
      orders.configure(inForce.configuration());
      metrics.configurationInForce(inForce.configuration().version());
    }
  }

  @Override
  public void flush() {
    orders.flush();
  }

  private void performOwnership(OwnershipEffect effect) {
    if (effect instanceof OwnershipEffect.ReadRow read) {
      cells.read(read);
    } else if (effect instanceof OwnershipEffect.WriteRow write) {
      metrics.rowWritten();
      cells.write(write);
    } else if (effect instanceof OwnershipEffect.SendOrder order) {
      metrics.ordered(order.order());
      orders.add(order.upstream(), order.order());
    }
  }
}
