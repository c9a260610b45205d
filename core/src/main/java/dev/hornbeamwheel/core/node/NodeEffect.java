package dev.hornbeamwheel.core.node;

import dev.hornbeamwheel.core.Decision;
import dev.hornbeamwheel.core.config.Configuration;
import dev.hornbeamwheel.core.limits.LimitsEffect;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.ownership.OwnershipEffect;
import dev.hornbeamwheel.core.routing.RoutingEffect;
import java.util.Set;

/** Something that a process has to do, of any concern. */
public sealed interface NodeEffect {
  /** Sends a message to another member; it may be lost. */
  record Send(MemberId to, PeerMessage message) implements NodeEffect {}

  /** Tells the transport where a member listens. */
  record PeerAddress(MemberId member, String address) implements NodeEffect {}

  /** Tells the transport that a member is gone. */
  record PeerGone(MemberId member) implements NodeEffect {}

  /** Reads the platform's host list; answered by {@link NodeEvent.HostListRead}. */
  record PollHostList() implements NodeEffect {}

  /** Reads the configuration; answered by {@link NodeEvent.ConfigurationRead}. */
  record PollConfiguration() implements NodeEffect {}

  /** Reads the row of a cell; answered by {@link NodeEvent.CellRowRead}. */
  record ReadCellRow(CellId cell) implements NodeEffect {}

  /** A configuration has come into force in this process. */
  record ConfigurationInForce(Configuration configuration) implements NodeEffect {}

  /** Nothing has been heard lately from these data centres, and from no others. */
  record DataCentresUnreachable(Set<DataCentreId> dataCentres) implements NodeEffect {
    /** Copies the set. */
    public DataCentresUnreachable {
      dataCentres = Set.copyOf(dataCentres);
    }
  }

  /** Reads or writes a row, or orders an upstream. */
  record Ownership(OwnershipEffect effect) implements NodeEffect {}

  /** Reads or writes the row of a group of contracts. */
  record Limits(LimitsEffect effect) implements NodeEffect {}

  /** Calls an upstream or answers a caller. */
  record Routing(RoutingEffect effect) implements NodeEffect {}

  /** Writes a decision to the decision log. */
  record Log(Decision decision) implements NodeEffect {}
}
