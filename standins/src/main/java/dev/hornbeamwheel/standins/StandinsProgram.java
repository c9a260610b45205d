package dev.hornbeamwheel.standins;

import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.runtime.cli.Program;
import dev.hornbeamwheel.runtime.cli.StartError;
import dev.hornbeamwheel.runtime.cli.StartResult;
import dev.hornbeamwheel.runtime.settings.SettingsObject;
import dev.hornbeamwheel.standins.platform.PlatformStandin;
import dev.hornbeamwheel.standins.upstream.UpstreamStandins;
import java.util.Optional;

/** The program {@code hornbeamwheel-standins}. */
public final class StandinsProgram implements Program<StandinsSettings> {
  @Override
  public String name() {
    return "hornbeamwheel-standins";
  }

  @Override
  public String summary() {
    return "stand-ins for the platform and for upstreams, for tests and the quick start only";
  }

  @Override
  public StandinsSettings settings(SettingsObject document) {
    return StandinsSettings.from(document);
  }

  @Override
  public StartResult start(StandinsSettings settings) {
    Clock clock = Clock.monotonic();
    Optional<PlatformStandin> platform = Optional.empty();
    Optional<UpstreamStandins> upstreams = Optional.empty();
    try {
      platform = settings.platform().map(role -> PlatformStandin.start(role, clock));
      upstreams =
          settings
              .upstreams()
              .map(role -> UpstreamStandins.start(role.declarations(), role.behaviour(), clock));
      return new StartResult.Started(Standins.of(platform, upstreams, settings.operatorAddress()));
    } catch (RuntimeException e) {
      upstreams.ifPresent(UpstreamStandins::close);
      platform.ifPresent(PlatformStandin::close);
      String cause = e.getCause() == null ? e.getMessage() : e.getCause().getMessage();
      return new StartResult.Failed(
          new StartError.AddressUnavailable(
              "the operator port or a role", settings.operatorAddress(), String.valueOf(cause)));
    }
  }
}
