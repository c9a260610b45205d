package dev.hornbeamwheel.core.membership;

/** Periods, timeouts and sizes of the gossip. */
final class GossipTiming {
  /** Time between two heartbeats to the same watcher, in milliseconds. */
  static final long HEARTBEAT_MILLIS = 400;

  /** Silence after which a watched member is suspected, in milliseconds. */
  static final long SUSPECT_AFTER_MILLIS = 1600;

  /** Silence that counts when nobody else is heard either, in milliseconds. */
  static final long ISOLATED_SUSPECT_AFTER_MILLIS = 4800;

  /** Time in which a suspected member may refute, in milliseconds. */
  static final long SUSPICION_MILLIS = 1500;

  /** Time between two ticks that shows that this process was paused, in milliseconds. */
  static final long PAUSE_MILLIS = 800;

  /** Time between two digests, in milliseconds. */
  static final long DIGEST_MILLIS = 500;

  /** Time until the next digest while this member catches up, in milliseconds. */
  static final long CATCH_UP_MILLIS = 100;

  /** Time between two beacons of a data centre, in milliseconds. */
  static final long BEACON_MILLIS = 1000;

  /** Silence of the beacon after which any member sends it, in milliseconds. */
  static final long BEACON_TAKEOVER_MILLIS = 3000;

  /** Silence of a data centre after which it is unreachable, in milliseconds. */
  static final long UNREACHABLE_AFTER_MILLIS = 6000;

  /** Time between two readings of the host list by one poller, in milliseconds. */
  static final long HOST_LIST_MILLIS = 5000;

  /** Time between two readings of the host list while no peer is known, in milliseconds. */
  static final long LONELY_HOST_LIST_MILLIS = 1000;

  /** Age up to which a learned item is pushed on, in milliseconds. */
  static final long FRESH_MILLIS = 5000;

  /** Time that a member which was lost or left is remembered, in milliseconds. */
  static final long TOMBSTONE_MILLIS = 3_600_000;

  /** Members that watch the heartbeats of one member. */
  static final int WATCHERS = 3;

  /** Peers that a fresh item is pushed to. */
  static final int FAN_OUT = 3;

  /** Members of a data centre that gossip with other data centres. */
  static final int BRIDGES = 3;

  /** Members of a data centre that poll the host list. */
  static final int HOST_LIST_POLLERS = 2;

  /** One digest in this many goes to a member that is not known to be present, or is far. */
  static final int STRAY_DIGEST_ONE_IN = 16;

  /** Size up to which a fresh item is pushed unasked, in bytes. */
  static final int INLINE_BYTES = 4096;

  /** Size at which a message of changes is split, in bytes. */
  static final int CHANGES_BYTES = 65_536;

  /** Versions named in one answer to a digest, unless a single bucket holds more. */
  static final int MAX_VERSIONS = 1000;

  private GossipTiming() {}
}
