package dev.hornbeamwheel.core.membership;

/** What the fleet believes of a member; a later constant overrides an earlier one. */
public enum MemberState {
  /** It sends heartbeats. */
  ALIVE(0),
  /** Its heartbeats have been missed and it has not refuted that yet. */
  SUSPECT(1),
  /** It was suspected for the whole suspicion timeout. */
  LOST(2),
  /** It announced a planned stop. */
  LEFT(3);

  private final int rank;

  MemberState(int rank) {
    this.rank = rank;
  }

  /** Returns whether the member may still be running. */
  public boolean present() {
    return this == ALIVE || this == SUSPECT;
  }

  /** Returns the position of this state; a greater one overrides a smaller one. */
  int rank() {
    return rank;
  }
}
