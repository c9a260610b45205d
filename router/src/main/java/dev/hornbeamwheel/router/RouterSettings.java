package dev.hornbeamwheel.router;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.runtime.member.SocketAddresses;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import java.net.InetSocketAddress;

/**
 * Settings of the router.
 *
 * @param member this process
 * @param host the host that it runs on
 * @param dataCentre the data centre that the host stands in
 * @param callerAddress where callers send their requests
 * @param peerAddress where other members send messages
 * @param operatorAddress where operators read metrics and status
 * @param platform IP number and port of the platform
 * @param maxBodyBytes greatest body of a request
 * @param maxInFlight attempts in flight at once
 * @param decisionLogOneIn writes one decision in so many; one writes each
 */
public record RouterSettings(
    MemberId member,
    HostId host,
    DataCentreId dataCentre,
    InetSocketAddress callerAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress operatorAddress,
    String platform,
    int maxBodyBytes,
    int maxInFlight,
    int decisionLogOneIn) {
  private static final int LARGEST_BODY_BYTES = 64 << 20;
  private static final int DEFAULT_BODY_BYTES = 1 << 20;
  private static final int LARGEST_IN_FLIGHT = 16_384;
  private static final int DEFAULT_IN_FLIGHT = 1_024;

  /** Reads the settings from the outermost object of the file. */
  static RouterSettings read(SettingsObject document) {
    return new RouterSettings(
        document.value("member", MemberId::of),
        document.value("host", HostId::of),
        document.value("dataCentre", DataCentreId::of),
        document.address("callerAddress"),
        document.address("peerAddress"),
        document.address("operatorAddress"),
        SocketAddresses.format(document.address("platform")),
        document.integer("maxBodyBytes", 1, LARGEST_BODY_BYTES, DEFAULT_BODY_BYTES),
        document.integer("maxInFlight", 1, LARGEST_IN_FLIGHT, DEFAULT_IN_FLIGHT),
        document.integer("decisionLogOneIn", 1, Integer.MAX_VALUE, 1));
  }
}
