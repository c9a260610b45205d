package dev.hornbeamwheel.standins.faults;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.List;

/** A fault, in force from the moment it is ordered; docs/INTERFACES.md lists the JSON forms. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Fault.PlatformDown.class, name = "platform-down"),
  @JsonSubTypes.Type(value = Fault.PlatformUp.class, name = "platform-up"),
  @JsonSubTypes.Type(value = Fault.PlatformSlow.class, name = "platform-slow"),
  @JsonSubTypes.Type(value = Fault.LoseWriteAnswers.class, name = "lose-write-answers"),
  @JsonSubTypes.Type(value = Fault.ListHosts.class, name = "list-hosts"),
  @JsonSubTypes.Type(value = Fault.Freeze.class, name = "freeze"),
  @JsonSubTypes.Type(value = Fault.Thaw.class, name = "thaw"),
  @JsonSubTypes.Type(value = Fault.Crash.class, name = "crash"),
  @JsonSubTypes.Type(value = Fault.CrashOn.class, name = "crash-on"),
  @JsonSubTypes.Type(value = Fault.Slow.class, name = "slow"),
  @JsonSubTypes.Type(value = Fault.Drain.class, name = "drain"),
  @JsonSubTypes.Type(value = Fault.Return.class, name = "return"),
  @JsonSubTypes.Type(value = Fault.TurnCold.class, name = "turn-cold"),
  @JsonSubTypes.Type(value = Fault.DisturbAnswers.class, name = "disturb-answers"),
  @JsonSubTypes.Type(value = Fault.PretendHealth.class, name = "pretend-health")
})
public sealed interface Fault {
  /** A fault of the platform. */
  sealed interface OfPlatform extends Fault {}

  /** A fault of upstreams. */
  sealed interface OfUpstream extends Fault {}

  /** A fault of one upstream. */
  sealed interface OfOneUpstream extends OfUpstream {
    /** Returns the upstream. */
    UpstreamId upstream();
  }

  /** How the platform behaves while it is down. */
  enum DownMode {
    /** It answers 503 and certainly does nothing. */
    REFUSE,
    /** It closes the connection and does nothing, so that callers cannot know. */
    CLOSE
  }

  /** How answers of an upstream are disturbed. */
  enum Disturbance {
    /** The answer of another request is sent. */
    CROSSED,
    /** The answer is held back. */
    LATE,
    /** The connection is closed in the middle of the body. */
    SHORT,
    /** The connection is closed after the run and before the answer. */
    LOST
  }

  /** What the health endpoint of an upstream says. */
  enum Health {
    /** The truth, late. */
    HONEST,
    /** That all is well, even while the upstream is frozen. */
    UP,
    /** That nothing is well. */
    DOWN
  }

  /** Takes one entrance of the platform down; the entrance {@code all} means each. */
  record PlatformDown(String entrance, DownMode mode) implements OfPlatform {}

  /** Brings one entrance of the platform back, or {@code all}; writes are answered again. */
  record PlatformUp(String entrance) implements OfPlatform {}

  /** Delays each answer of the platform; zero ends it. */
  record PlatformSlow(long millis) implements OfPlatform {}

  /** Loses the answers to the next writes of the table, after they took effect. */
  record LoseWriteAnswers(int count) implements OfPlatform {}

  /** Changes the hosts; the list shows it after its lag. */
  record ListHosts(List<ListedHost> hosts) implements OfPlatform {}

  /** Stops an upstream without ending it. */
  record Freeze(UpstreamId upstream) implements OfOneUpstream {}

  /** Lets a frozen upstream go on where it stopped. */
  record Thaw(UpstreamId upstream) implements OfOneUpstream {}

  /** Ends an upstream at once and starts it anew, with another incarnation. */
  record Crash(UpstreamId upstream, long restartAfterMillis) implements OfOneUpstream {}

  /**
   * Lets each upstream crash that runs a request whose path contains a marker; an empty marker ends
   * it.
   */
  record CrashOn(String marker, long restartAfterMillis) implements OfUpstream {}

  /** Multiplies the time that an upstream takes for a request, for some time. */
  record Slow(UpstreamId upstream, int factor, long forMillis) implements OfOneUpstream {}

  /** Makes an upstream refuse new requests. */
  record Drain(UpstreamId upstream) implements OfOneUpstream {}

  /** Makes a draining upstream take requests again. */
  record Return(UpstreamId upstream) implements OfOneUpstream {}

  /** Makes an upstream cold again without a restart. */
  record TurnCold(UpstreamId upstream) implements OfOneUpstream {}

  /** Disturbs the next answers of an upstream; {@code millis} counts for late ones only. */
  record DisturbAnswers(UpstreamId upstream, Disturbance how, int count, long millis)
      implements OfOneUpstream {}

  /** Sets what the health endpoint of an upstream says. */
  record PretendHealth(UpstreamId upstream, Health state) implements OfOneUpstream {}
}
