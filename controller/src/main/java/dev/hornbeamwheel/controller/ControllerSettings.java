package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.membership.Seed;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.runtime.member.SocketAddresses;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of the controller.
 *
 * @param member this process
 * @param host the host that it runs on
 * @param dataCentre the data centre that the host stands in
 * @param peerAddress where other members send messages
 * @param operatorAddress where operators read metrics and status
 * @param platform IP number and port of the platform
 * @param seeds members to contact before the platform's host list has been read; may be empty
 * @param decisionLogOneIn writes one decision in so many; one writes each
 */
record ControllerSettings(
    MemberId member,
    HostId host,
    DataCentreId dataCentre,
    InetSocketAddress peerAddress,
    InetSocketAddress operatorAddress,
    String platform,
    List<Seed> seeds,
    int decisionLogOneIn) {
  /** Copies the list. */
  ControllerSettings {
    seeds = List.copyOf(seeds);
  }

  /** Reads the settings from the outermost object of the file. */
  static ControllerSettings read(SettingsObject document) {
    return new ControllerSettings(
        document.value("member", MemberId::of),
        document.value("host", HostId::of),
        document.value("dataCentre", DataCentreId::of),
        document.address("peerAddress"),
        document.address("operatorAddress"),
        SocketAddresses.format(document.address("platform")),
        document.optionalSections("seeds", ControllerSettings::seed),
        document.integer("decisionLogOneIn", 1, Integer.MAX_VALUE, 1));
  }

  private static Seed seed(SettingsObject section) {
    return new Seed(
        section.value("member", MemberId::of),
        section.value("dataCentre", DataCentreId::of),
        SocketAddresses.format(section.address("address")));
  }
}
