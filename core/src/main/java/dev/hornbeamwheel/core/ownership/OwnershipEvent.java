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

/** Something that the ownership part of a controller observed. */
public sealed interface OwnershipEvent extends TimedEvent {
  /** Time passed; expected every {@link OwnershipOptions#tickMillis()}. */
  record Tick(long atMillis) implements OwnershipEvent {}

  /** A message of another controller, or of this one, arrived. */
  record MessageReceived(
      long atMillis, MemberId from, Incarnation incarnation, OwnershipMessage message)
      implements OwnershipEvent {}

  /** A row was read; the id repeats that of {@link OwnershipEffect.ReadRow}. */
  record RowRead(long atMillis, CellId cell, long readId, RowReadResult result)
      implements OwnershipEvent {}

  /** A write ended, or its answer was lost. */
  record RowWritten(long atMillis, CellId cell, String operationId, RowWriteResult result)
      implements OwnershipEvent {}

  /** A row that stands in the table was learned from another member. */
  record RowLearned(long atMillis, CellRow row) implements OwnershipEvent {}

  /** An upstream replied to an order. */
  record UpstreamReplied(long atMillis, UpstreamId upstream, UpstreamReply reply)
      implements OwnershipEvent {}

  /** An order could not be delivered or was not answered in time. */
  record UpstreamUnreachable(long atMillis, UpstreamId upstream, long orderId)
      implements OwnershipEvent {}

  /** Another configuration is in force. */
  record ConfigurationChanged(long atMillis, Configuration configuration)
      implements OwnershipEvent {}

  /**
   * The membership changed.
   *
   * @param atMillis the time
   * @param live live controllers of each data centre, this one included
   * @param decommissioned controllers whose hosts are known to be switched off for good
   */
  record MembersChanged(
      long atMillis, Map<DataCentreId, List<Voter>> live, Set<Voter> decommissioned)
      implements OwnershipEvent {}

  /**
   * Load was measured; replaces the earlier measure of the service.
   *
   * @param atMillis the time
   * @param service the service
   * @param load requests a second of each slice and of each hot key; absent means none
   */
  record LoadReported(long atMillis, ServiceId service, Map<Slice, Double> load)
      implements OwnershipEvent {}

  /** This controller is about to stop and gives its leadership away. */
  record StopRequested(long atMillis) implements OwnershipEvent {}

  /** Operators ask that this controller give up one cell, for a test or a repair. */
  record LeadershipTransferRequested(long atMillis, CellId cell) implements OwnershipEvent {}
}
