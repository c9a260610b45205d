package dev.hornbeamwheel.standins;

import dev.hornbeamwheel.core.config.ColdStart;
import dev.hornbeamwheel.core.config.Declarations;
import dev.hornbeamwheel.core.config.Fencing;
import dev.hornbeamwheel.core.config.Isolation;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.config.ServiceKind;
import dev.hornbeamwheel.core.config.Upstream;
import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.platform.http.HttpPlatform;
import dev.hornbeamwheel.runtime.cli.StartResult;
import dev.hornbeamwheel.standins.platform.PlatformSettings;
import dev.hornbeamwheel.standins.upstream.UpstreamSettings;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Stand-ins in this process, on free ports. */
public final class StandinsFixture implements AutoCloseable {
  /** Upstream of a keyed service with checked fencing. */
  public static final UpstreamId LEDGER = UpstreamId.of("ledger-1");

  /** Upstream of a pooled service with two slots. */
  public static final UpstreamId DESK = UpstreamId.of("desk-1");

  private static final InetSocketAddress FREE =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final Standins standins;
  private final HttpPlatform client;

  private StandinsFixture(Standins standins) {
    this.standins = standins;
    this.client =
        HttpPlatform.create(
            text(standins.platform().orElseThrow().addresses().get(0)), Duration.ofSeconds(10));
  }

  /** Starts the stand-ins. */
  public static StandinsFixture start(UpstreamSettings behaviour, int writesPerSecond) {
    PlatformSettings platform =
        new PlatformSettings(
            List.of(new PlatformSettings.Entrance("quimper", FREE)),
            2000,
            writesPerSecond,
            0,
            List.of());
    StandinsSettings settings =
        new StandinsSettings(
            FREE,
            Optional.of(platform),
            Optional.of(new StandinsSettings.Upstreams(declarations(), behaviour)));
    StartResult.Started started = (StartResult.Started) new StandinsProgram().start(settings);
    return new StandinsFixture((Standins) started.program());
  }

  /** Returns the stand-ins. */
  public Standins standins() {
    return standins;
  }

  /** Returns a client of the platform and of the upstreams. */
  public HttpPlatform client() {
    return client;
  }

  /** Returns the address of an upstream. */
  public String address(UpstreamId upstream) {
    return text(standins.upstreams().orElseThrow().address(upstream).orElseThrow());
  }

  @Override
  public void close() {
    client.close();
    standins.close();
  }

  private static Declarations declarations() {
    return new Declarations(
        List.of(),
        List.of(service("ledger", ServiceKind.KEYED, 16), service("desk", ServiceKind.POOLED, 1)),
        List.of(upstream(LEDGER, "ledger"), upstream(DESK, "desk")),
        List.of(),
        Set.of(),
        Set.of(),
        Set.of());
  }

  private static Service service(String id, ServiceKind kind, int shards) {
    return new Service(
        ServiceId.of(id),
        kind,
        shards,
        1,
        Fencing.CHECKED,
        Isolation.KEEP_SERVING,
        new ColdStart(1, 100, 60_000),
        2000);
  }

  private static Upstream upstream(UpstreamId id, String service) {
    return new Upstream(
        id, ServiceId.of(service), DataCentreId.of("quimper"), "127.0.0.1:0", 2, 300);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
