package dev.hornbeamwheel.core.membership;

/** When each periodic action of a member is due. */
final class Schedule {
  private static final long EXPIRY_MILLIS = 1000;

  private long lastTickMillis = Long.MIN_VALUE;
  private long nextHeartbeatMillis = Long.MIN_VALUE;
  private long nextDigestMillis = Long.MIN_VALUE;
  private long nextHostListMillis = Long.MIN_VALUE;
  private long lastHostListMillis = Long.MIN_VALUE / 2;
  private long nextExpiryMillis = Long.MIN_VALUE;

  /** Returns whether so much time has passed since the last tick that messages were missed. */
  boolean resumedAfterPause(long nowMillis) {
    boolean paused =
        lastTickMillis != Long.MIN_VALUE && nowMillis - lastTickMillis >= GossipTiming.PAUSE_MILLIS;
    lastTickMillis = nowMillis;
    return paused;
  }

  boolean heartbeatDue(long nowMillis) {
    boolean due = nowMillis >= nextHeartbeatMillis;
    nextHeartbeatMillis = due ? nowMillis + GossipTiming.HEARTBEAT_MILLIS : nextHeartbeatMillis;
    return due;
  }

  boolean digestDue(long nowMillis) {
    boolean due = nowMillis >= nextDigestMillis;
    nextDigestMillis = due ? nowMillis + GossipTiming.DIGEST_MILLIS : nextDigestMillis;
    return due;
  }

  /** Brings the next digest forward, because the last one showed a difference. */
  void hastenDigest(long nowMillis) {
    nextDigestMillis = Math.min(nextDigestMillis, nowMillis + GossipTiming.CATCH_UP_MILLIS);
  }

  boolean hostListDue(boolean lonely, long nowMillis) {
    long period = lonely ? GossipTiming.LONELY_HOST_LIST_MILLIS : GossipTiming.HOST_LIST_MILLIS;
    boolean due = nowMillis >= Math.min(nextHostListMillis, lastHostListMillis + period);
    lastHostListMillis = due ? nowMillis : lastHostListMillis;
    nextHostListMillis = due ? nowMillis + period : nextHostListMillis;
    return due;
  }

  boolean expiryDue(long nowMillis) {
    boolean due = nowMillis >= nextExpiryMillis;
    nextExpiryMillis = due ? nowMillis + EXPIRY_MILLIS : nextExpiryMillis;
    return due;
  }
}
