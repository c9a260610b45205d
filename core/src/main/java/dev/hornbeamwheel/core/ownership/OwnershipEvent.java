package dev.hornbeamwheel.core.ownership;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.Slice;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** An input of {@link OwnershipReducer}. */
public sealed interface OwnershipEvent extends TimedEvent {
  /** Reports the passage of time; expected every {@link OwnershipOptions#tickMillis()}. */
  record Tick(long atMillis) implements OwnershipEvent {}

  /** Reports a message received from a controller, possibly from this one. */
  record MessageReceived(
      long atMillis, MemberId from, Incarnation incarnation, OwnershipMessage message)
      implements OwnershipEvent {}

  /** Reports the result of the {@link OwnershipEffect.ReadRow} with the same id. */
  record RowRead(long atMillis, CellId cell, long readId, RowReadResult result)
      implements OwnershipEvent {}

  /** Reports the result of a row write; a lost response is reported as unknown. */
  record RowWritten(long atMillis, CellId cell, String operationId, RowWriteResult result)
      implements OwnershipEvent {}

  /** Reports a committed row received from another member. */
  record RowLearned(long atMillis, CellRow row) implements OwnershipEvent {}

  /** Reports an upstream's reply to an order. */
  record UpstreamReplied(long atMillis, UpstreamId upstream, UpstreamReply reply)
      implements OwnershipEvent {}

  /** Reports an order that could not be delivered or got no reply in time. */
  record UpstreamUnreachable(long atMillis, UpstreamId upstream, long orderId)
      implements OwnershipEvent {}

  /** Reports that another configuration took effect. */
  record ConfigurationChanged(long atMillis, Configuration configuration)
      implements OwnershipEvent {}

  /**
   * Reports a membership change.
   *
   * @param atMillis the time
   * @param live live controllers by data centre, including this one
   * @param decommissioned controllers whose hosts are known to be permanently shut down
   */
  record MembersChanged(
      long atMillis, Map<DataCentreId, List<Voter>> live, Set<Voter> decommissioned)
      implements OwnershipEvent {}

  /**
   * Reports measured load; replaces the previous report of the service.
   *
   * @param atMillis the time
   * @param service the service
   * @param load requests per second of each slice and each hot key; an absent entry means zero
   */
  record LoadReported(long atMillis, ServiceId service, Map<Slice, Double> load)
      implements OwnershipEvent {}

  /** Requests that this controller transfer its leadership before it stops. */
  record StopRequested(long atMillis) implements OwnershipEvent {}

  /** Requests a leadership transfer of one cell, for a test or a repair by operators. */
  record LeadershipTransferRequested(long atMillis, CellId cell) implements OwnershipEvent {}
}
