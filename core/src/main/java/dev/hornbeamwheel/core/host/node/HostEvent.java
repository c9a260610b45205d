package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.host.catalog.FleetConfiguration;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.catalog.UpstreamIncarnation;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.keys.OrderResult;
import dev.hornbeamwheel.core.host.keys.TableReadResult;
import dev.hornbeamwheel.core.host.keys.TableWriteResult;
import dev.hornbeamwheel.core.host.lease.LeaseRead;
import dev.hornbeamwheel.core.host.lease.LeaseWrite;
import dev.hornbeamwheel.core.host.request.AttemptResult;
import dev.hornbeamwheel.core.host.request.CheckResult;
import dev.hornbeamwheel.core.host.request.RequestHead;
import dev.hornbeamwheel.core.host.request.RequestRef;
import dev.hornbeamwheel.core.host.request.ShutdownSchedule;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** An event that an entry host observed. */
public sealed interface HostEvent extends TimedEvent {
  /**
   * Returns the name of this kind of event as a log value: the simple name of the type, or, for a
   * renamed type, its earlier name.
   */
  default String kindName() {
    return getClass().getSimpleName();
  }

  /** Time has passed. */
  record Tick(long atMillis) implements HostEvent {}

  /**
   * The clock of this host has advanced by a time that may not have passed: the host was suspended,
   * or its time of day was set forward, which cannot be told apart. Precedes all events with a time
   * after it.
   *
   * @param millis by how much the clock has advanced, in milliseconds
   */
  record ClockAdvanced(long atMillis, long millis) implements HostEvent {}

  /** A version of the configuration was read. */
  record ConfigurationRead(long atMillis, FleetConfiguration configuration) implements HostEvent {}

  /** The registrations of all upstreams were read. */
  record UpstreamsRead(long atMillis, List<UpstreamRegistration> entries) implements HostEvent {}

  /** The registration of an upstream was added or changed. */
  record UpstreamChanged(long atMillis, UpstreamRegistration entry) implements HostEvent {}

  /** The registration of an upstream was removed. */
  record UpstreamRemoved(long atMillis, UpstreamId upstream) implements HostEvent {}

  /** The set of data centres that operators have evacuated was read. */
  record EvacuationsRead(long atMillis, Set<DataCentreId> dataCentres) implements HostEvent {}

  /**
   * The store answers again after an outage.
   *
   * @param outageMillis time since the first call that failed, in milliseconds
   * @param lastFailedCallAtMillis when the last call that failed began
   */
  record StoreReturned(long atMillis, long outageMillis, long lastFailedCallAtMillis)
      implements HostEvent {}

  /** Changes of a table were read from the store and reported by the events before. */
  record TableChangesRead(long atMillis, TableChanges changes) implements HostEvent {}

  /** A read of the lease row has ended; {@code read} is empty if it failed. */
  record LeaseReadEnded(long atMillis, Optional<LeaseRead> read) implements HostEvent {}

  /** A write of the lease row has ended. */
  record LeaseWriteEnded(long atMillis, LeaseWrite result) implements HostEvent {}

  /** A read of a key table has ended, with or without success. */
  record TableReadEnded(long atMillis, long term, ServiceId service, TableReadResult result)
      implements HostEvent {}

  /** A write of a key table has ended. */
  record TableWriteEnded(long atMillis, long term, ServiceId service, TableWriteResult result)
      implements HostEvent {}

  /** An order to an upstream has ended. */
  record OrderEnded(long atMillis, long term, ServiceId service, long order, OrderResult result)
      implements HostEvent {}

  /** This coordinator received a message from a host. */
  record HostMessageReceived(long atMillis, LinkId link, HostMessage message) implements HostEvent {
    @Override
    public String kindName() {
      return "HostSaid";
    }
  }

  /** The connection of a host to this coordinator was closed. */
  record HostDisconnected(long atMillis, LinkId link) implements HostEvent {
    @Override
    public String kindName() {
      return "HostGone";
    }
  }

  /** The connection to the coordinator was established. */
  record CoordinatorConnected(long atMillis, long term) implements HostEvent {}

  /** A message of the coordinator was received. */
  record CoordinatorMessageReceived(long atMillis, long term, HostMessage message)
      implements HostEvent {
    @Override
    public String kindName() {
      return "CoordinatorSaid";
    }
  }

  /** The connection to the coordinator was closed, or could not be established. */
  record CoordinatorDisconnected(long atMillis, long term) implements HostEvent {
    @Override
    public String kindName() {
      return "CoordinatorGone";
    }
  }

  /** The head of a caller's request was received. */
  record RequestArrived(long atMillis, RequestRef request, RequestHead head) implements HostEvent {}

  /** A caller closed its connection before it was answered. */
  record CallerDisconnected(long atMillis, RequestRef request) implements HostEvent {
    @Override
    public String kindName() {
      return "CallerLeft";
    }
  }

  /** A check whether an upstream still runs has ended. */
  record UpstreamChecked(long atMillis, UpstreamIncarnation upstream, CheckResult result)
      implements HostEvent {}

  /** An upstream said in its response to an order that it leaves. */
  record UpstreamLeaving(long atMillis, UpstreamId upstream) implements HostEvent {}

  /** An operator allowed a request again that is refused because it crashed upstreams. */
  record QuarantineLifted(long atMillis, long fingerprint) implements HostEvent {}

  /** An attempt at an upstream has ended. */
  record AttemptEnded(long atMillis, RequestRef request, AttemptResult result)
      implements HostEvent {}

  /**
   * The process was asked to stop; it does so once its requests have ended.
   *
   * @param schedule when it ends the requests that remain
   */
  record Stopping(long atMillis, ShutdownSchedule schedule) implements HostEvent {}
}
