package dev.hornbeamwheel.core.host.node;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.log.LogEntry;
import dev.hornbeamwheel.core.host.request.RequestEffect;
import dev.hornbeamwheel.core.host.slots.LinkId;
import dev.hornbeamwheel.core.model.ServiceId;

/** What an entry host is to carry out. */
public sealed interface HostEffect {
  /**
   * Returns the name of this kind of effect. It is the simple name of the type, or the earlier one
   * of a type that was renamed: a log value that operators search for.
   */
  default String kindName() {
    return getClass().getSimpleName();
  }

  /** Send, abort, pass on or answer a request. */
  record Request(RequestEffect effect) implements HostEffect {}

  /** Read or write the lease row. */
  record Lease(LeaseEffect effect) implements HostEffect {}

  /** Read or write a table of keys, or send an order; its end is reported with the same term. */
  record Keys(long term, ServiceId service, KeyEffect effect) implements HostEffect {}

  /** Connect to the coordinator of a term; an earlier connection is closed. */
  record Connect(long term, Address address) implements HostEffect {}

  /** Close the connection to the coordinator, if there is one. */
  record Disconnect() implements HostEffect {}

  /** Say something to the coordinator. */
  record SendToCoordinator(HostMessage message) implements HostEffect {
    @Override
    public String kindName() {
      return "Say";
    }
  }

  /** Say something to a host, as its coordinator. */
  record SendToHost(LinkId link, HostMessage message) implements HostEffect {
    @Override
    public String kindName() {
      return "Tell";
    }
  }

  /** Close the connections of all hosts to this process. */
  record DisconnectHosts() implements HostEffect {
    @Override
    public String kindName() {
      return "DropHosts";
    }
  }

  /** Write a log line. */
  record Log(LogEntry entry) implements HostEffect {}
}
