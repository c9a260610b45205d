package dev.hornbeamwheel.core.membership;

/** What the fleet believes of a member; a later constant overrides an earlier one. */
public enum MemberState {
  /** It sends heartbeats. */
  ALIVE,
  /** Its heartbeats have been missed and it has not refuted that yet. */
  SUSPECT,
  /** It was suspected for the whole suspicion timeout. */
  LOST,
  /** It announced a planned stop. */
  LEFT;

  /** Returns whether the member may still be running. */
  public boolean present() {
    return this == ALIVE || this == SUSPECT;
  }
}
