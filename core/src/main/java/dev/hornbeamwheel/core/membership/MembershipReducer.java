package dev.hornbeamwheel.core.membership;

import dev.hornbeamwheel.core.Reducer;
import java.util.List;

/** Decides what a member tells its peers, and what it believes of them. */
public final class MembershipReducer implements Reducer<GossipEvent, GossipEffect> {
  private MembershipReducer() {}

  /**
   * Returns the reducer of one process.
   *
   * @param self the process, in state {@link MemberState#ALIVE}
   * @param seed of the random choice of peers
   */
  public static MembershipReducer of(Member self, long seed) {
    return new MembershipReducer();
  }

  @Override
  public List<GossipEffect> reduce(GossipEvent event) {
    return List.of();
  }
}
