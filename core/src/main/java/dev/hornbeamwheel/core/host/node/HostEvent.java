package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.host.keys.OrderResult;
import dev.hornbeamwheel.core.host.keys.TableRead;
import dev.hornbeamwheel.core.host.keys.TableWrite;
import dev.hornbeamwheel.core.host.lease.LeaseRead;
import dev.hornbeamwheel.core.host.lease.LeaseWrite;
import dev.hornbeamwheel.core.host.request.AttemptResult;
import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Something that an entry host observed. */
public sealed interface HostEvent extends TimedEvent {
  /**
   * Returns the name of this kind of event. It is the simple name of the type, or the earlier one
   * of a type that was renamed: a log value that operators search for.
   */
  default String kindName() {
    return getClass().getSimpleName();
  }

  /** Time has passed. */
  record Tick(long atMillis) implements HostEvent {}

  /** A configuration was read. */
  record ConfigurationRead(long atMillis, FleetConfiguration configuration) implements HostEvent {}

  /** All registrations of upstreams were read. */
  record UpstreamsRead(long atMillis, List<UpstreamEntry> entries) implements HostEvent {}

  /** The registration of an upstream has changed. */
  record UpstreamChanged(long atMillis, UpstreamEntry entry) implements HostEvent {}

  /** The registration of an upstream is gone. */
  record UpstreamRemoved(long atMillis, UpstreamId upstream) implements HostEvent {}

  /** The data centres that operators have taken out were read. */
  record EvacuationsRead(long atMillis, Set<DataCentreId> dataCentres) implements HostEvent {}

  /** The store answers again after it did not. */
  record StoreReturned(long atMillis) implements HostEvent {}

  /** The lease row was read, or could not be. */
  record LeaseReadEnded(long atMillis, Optional<LeaseRead> read) implements HostEvent {}

  /** A write of the lease row has ended. */
  record LeaseWriteEnded(long atMillis, LeaseWrite result) implements HostEvent {}

  /** A table of keys was read, or could not be. */
  record TableReadEnded(long atMillis, long term, ServiceId service, TableRead result)
      implements HostEvent {}

  /** A write of a table of keys has ended. */
  record TableWriteEnded(long atMillis, long term, ServiceId service, TableWrite result)
      implements HostEvent {}

  /** An order to an upstream has ended. */
  record OrderEnded(long atMillis, long term, ServiceId service, long order, OrderResult result)
      implements HostEvent {}

  /** A host said something to this coordinator. */
  record HostMessageReceived(long atMillis, LinkId link, HostMessage message) implements HostEvent {
    @Override
    public String kindName() {
      return "HostSaid";
    }
  }

  /** The connection of a host to this coordinator ended. */
  record HostDisconnected(long atMillis, LinkId link) implements HostEvent {
    @Override
    public String kindName() {
      return "HostGone";
    }
  }

  /** The connection to the coordinator stands. */
  record CoordinatorConnected(long atMillis, long term) implements HostEvent {}

  /** The coordinator said something. */
  record CoordinatorMessageReceived(long atMillis, long term, HostMessage message)
      implements HostEvent {
    @Override
    public String kindName() {
      return "CoordinatorSaid";
    }
  }

  /** The connection to the coordinator ended, or could not be made. */
  record CoordinatorDisconnected(long atMillis, long term) implements HostEvent {
    @Override
    public String kindName() {
      return "CoordinatorGone";
    }
  }

  /** A caller's request has arrived. */
  record RequestArrived(long atMillis, RequestRef request, RequestHead head) implements HostEvent {}

  /** A caller closed its connection before its answer. */
  record CallerDisconnected(long atMillis, RequestRef request) implements HostEvent {
    @Override
    public String kindName() {
      return "CallerLeft";
    }
  }

  /** An attempt at an upstream has ended. */
  record AttemptEnded(long atMillis, RequestRef request, AttemptResult result)
      implements HostEvent {}

  /**
   * The process is to stop once its requests have ended.
   *
   * @param refuseFromMillis from when on a request that may not end in time is refused
   * @param exitDeadlineMillis when the process ends at the latest
   */
  record Stopping(long atMillis, long refuseFromMillis, long exitDeadlineMillis)
      implements HostEvent {}
}
