package dev.hornbeamwheel.core.membership;

/** Kinds of items that members gossip. */
public enum Topic {
  /** A member; written by {@code MembershipReducer} itself. */
  MEMBER(Topic.FOREVER),
  /** A row of assignments, named like its table row. */
  CELL_ROW(Topic.FOREVER),
  /** The configuration in force, named {@code configuration}. */
  CONFIGURATION(Topic.FOREVER),
  /** One piece of evidence against a request; each has a name of its own, so items are united. */
  QUARANTINE(Topic.EVIDENCE_RETENTION_MILLIS),
  /** An upstream that has turned cold, named by its id. */
  COLD_UPSTREAM(Topic.EVIDENCE_RETENTION_MILLIS),
  /** Load by slice of one reporter; sent only to the member it concerns and never relayed. */
  LOAD(Topic.FOREVER);

  private static final long FOREVER = Long.MAX_VALUE;
  private static final long EVIDENCE_RETENTION_MILLIS = 600_000;

  private final long retentionMillis;

  Topic(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /** Returns the age at which an item of this topic is dropped, in milliseconds. */
  public long retentionMillis() {
    return retentionMillis;
  }
}
