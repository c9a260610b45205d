package dev.hornbeamwheel.standins;

import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.platform.declarations.DeclarationError;
import dev.hornbeamwheel.platform.declarations.DeclarationsReader;
import dev.hornbeamwheel.platform.declarations.DeclarationsResult;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import dev.hornbeamwheel.standins.faults.ListedHost;
import dev.hornbeamwheel.standins.platform.PlatformSettings;
import dev.hornbeamwheel.standins.upstream.UpstreamSettings;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Settings of the stand-ins.
 *
 * @param operatorAddress where faults are ordered and runs are shown
 * @param platform the platform; empty if this process has no such role
 * @param upstreams the upstreams; empty if this process has no such role
 */
public record StandinsSettings(
    InetSocketAddress operatorAddress,
    Optional<PlatformSettings> platform,
    Optional<Upstreams> upstreams) {
  private static final int MAX_RATE = 1_000_000;
  private static final int MAX_MILLIS = 3_600_000;
  private static final int MAX_QUEUE = 100_000;

  /**
   * Settings of the role of upstreams.
   *
   * @param declarations what declares them
   * @param behaviour how they behave
   */
  public record Upstreams(Declarations declarations, UpstreamSettings behaviour) {}

  private enum Role {
    PLATFORM,
    UPSTREAMS;

    static Role parse(String text) {
      return switch (text) {
        case "platform" -> PLATFORM;
        case "upstreams" -> UPSTREAMS;
        default -> throw new IllegalArgumentException("write platform or upstreams");
      };
    }
  }

  /** Returns the settings in a document. */
  public static StandinsSettings from(SettingsObject document) {
    InetSocketAddress operator = document.address("operatorAddress");
    List<Role> roles = document.values("roles", Role::parse);
    return new StandinsSettings(
        operator,
        roles.contains(Role.PLATFORM)
            ? Optional.of(document.section("platform", StandinsSettings::platform))
            : Optional.empty(),
        roles.contains(Role.UPSTREAMS)
            ? Optional.of(document.section("upstreams", StandinsSettings::upstreams))
            : Optional.empty());
  }

  private static PlatformSettings platform(SettingsObject section) {
    return new PlatformSettings(
        section.sections(
            "entrances",
            entrance ->
                new PlatformSettings.Entrance(entrance.text("name"), entrance.address("address"))),
        section.integer("readsPerSecond", 1, MAX_RATE),
        section.integer("writesPerSecond", 1, MAX_RATE),
        section.integer("hostListLagMillis", 0, MAX_MILLIS),
        section.sections("hosts", StandinsSettings::host));
  }

  private static ListedHost host(SettingsObject section) {
    return new ListedHost(
        section.value("host", HostId::of),
        section.value("dataCentre", DataCentreId::of),
        false,
        section.sections("members", StandinsSettings::member));
  }

  private static ListedHost.ListedMember member(SettingsObject section) {
    return new ListedHost.ListedMember(
        section.value("member", MemberId::of),
        section.text("peerAddress"),
        section.text("operatorAddress"));
  }

  private static Upstreams upstreams(SettingsObject section) {
    return new Upstreams(
        section.value("declarations", StandinsSettings::declarations),
        new UpstreamSettings(
            section.integer("serviceMillis", 0, MAX_MILLIS),
            section.integer("queueLimit", 0, MAX_QUEUE),
            section.integer("loadLagMillis", 0, MAX_MILLIS),
            section.integer("downloadBytes", 0, Integer.MAX_VALUE),
            section.value("start", StandinsSettings::warm)));
  }

  /** Reads a directory; a relative one starts from the working directory. */
  private static Declarations declarations(String directory) {
    DeclarationsResult result = DeclarationsReader.create().read(Path.of(directory));
    if (result instanceof DeclarationsResult.Invalid refused) {
      throw new IllegalArgumentException(
          refused.errors().stream()
              .map(DeclarationError::message)
              .collect(Collectors.joining(System.lineSeparator())));
    }
    return ((DeclarationsResult.Valid) result).declarations();
  }

  private static boolean warm(String text) {
    return switch (text) {
      case "warm" -> true;
      case "cold" -> false;
      default -> throw new IllegalArgumentException("write warm or cold");
    };
  }
}
