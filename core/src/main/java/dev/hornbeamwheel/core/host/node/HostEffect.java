package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.catalog.CatalogTable;
import dev.hornbeamwheel.core.host.catalog.TableChanges;
import dev.hornbeamwheel.core.host.catalog.TableSource;
import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.ServiceId;

/** An action that the reducer of an entry host requests. */
public sealed interface HostEffect {
  /**
   * Returns the name of this kind of effect as a log value: the simple name of the type, or, for a
   * renamed type, its earlier name.
   */
  default String kindName() {
    return getClass().getSimpleName();
  }

  /** Send, abort, forward or answer a request. */
  record Request(RequestEffect effect) implements HostEffect {}

  /** Read or write the lease row. */
  record Lease(LeaseEffect effect) implements HostEffect {}

  /**
   * Read or write a key table, or send an order to an upstream; the event that reports the result
   * carries the same term.
   */
  record Keys(long term, ServiceId service, KeyEffect effect) implements HostEffect {}

  /** Connect to the coordinator of a term; any earlier connection to a coordinator is closed. */
  record Connect(long term, Address address) implements HostEffect {}

  /** Close the connection to the coordinator, if any. */
  record Disconnect() implements HostEffect {}

  /** Send a message to the coordinator. */
  record SendToCoordinator(HostMessage message) implements HostEffect {
    @Override
    public String kindName() {
      return "Say";
    }
  }

  /** Send a message to a host that is connected to this coordinator. */
  record SendToHost(LinkId link, HostMessage message) implements HostEffect {
    @Override
    public String kindName() {
      return "Tell";
    }
  }

  /** Close the connections of all hosts that use this process as their coordinator. */
  record DisconnectHosts() implements HostEffect {
    @Override
    public String kindName() {
      return "DropHosts";
    }
  }

  /** Take the changes of a table of the store from another source than before. */
  record FollowTable(CatalogTable table, TableSource source) implements HostEffect {}

  /** Take over changes of a table that the coordinator has sent. */
  record TakeOverChanges(TableChanges changes) implements HostEffect {}

  /** Write a log entry. */
  record Log(LogEntry entry) implements HostEffect {}
}
