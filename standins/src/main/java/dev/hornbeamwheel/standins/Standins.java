package dev.hornbeamwheel.standins;

import dev.hornbeamwheel.runtime.cli.RunningProgram;
import dev.hornbeamwheel.standins.faults.Fault;
import dev.hornbeamwheel.standins.platform.PlatformStandin;
import dev.hornbeamwheel.standins.upstream.RunLog;
import dev.hornbeamwheel.standins.upstream.UpstreamStandins;
import java.net.InetSocketAddress;
import java.util.Optional;

/** The running stand-ins of one process. */
public final class Standins implements RunningProgram, AutoCloseable {
  private final Optional<PlatformStandin> platform;
  private final Optional<UpstreamStandins> upstreams;
  private final StandinsOperator operator;

  private Standins(
      Optional<PlatformStandin> platform,
      Optional<UpstreamStandins> upstreams,
      InetSocketAddress operatorAddress) {
    this.platform = platform;
    this.upstreams = upstreams;
    this.operator = StandinsOperator.start(operatorAddress, this);
  }

  /**
   * Starts to serve operators; the roles run already.
   *
   * @throws RuntimeException if the address cannot be listened on
   */
  static Standins of(
      Optional<PlatformStandin> platform,
      Optional<UpstreamStandins> upstreams,
      InetSocketAddress operatorAddress) {
    return new Standins(platform, upstreams, operatorAddress);
  }

  /** Returns the address for operators. */
  public InetSocketAddress operatorAddress() {
    return operator.address();
  }

  /** Returns the platform; empty if this process has no such role. */
  public Optional<PlatformStandin> platform() {
    return platform;
  }

  /** Returns the upstreams; empty if this process has no such role. */
  public Optional<UpstreamStandins> upstreams() {
    return upstreams;
  }

  /** Returns the runs of all upstreams; empty if this process has none. */
  public Optional<RunLog> runs() {
    return upstreams.map(UpstreamStandins::runs);
  }

  /**
   * Puts a fault in force.
   *
   * @throws IllegalArgumentException if this process has not the role that it is for
   */
  public void apply(Fault fault) {
    if (fault instanceof Fault.OfPlatform ofPlatform) {
      platform
          .orElseThrow(() -> new IllegalArgumentException("no platform stands here"))
          .apply(ofPlatform);
    } else if (fault instanceof Fault.OfUpstream ofUpstream) {
      upstreams
          .orElseThrow(() -> new IllegalArgumentException("no upstreams stand here"))
          .apply(ofUpstream);
    }
  }

  @Override
  public void stop() {
    upstreams.ifPresent(UpstreamStandins::close);
    platform.ifPresent(PlatformStandin::close);
    operator.close();
  }

  @Override
  public void close() {
    stop();
  }
}
