package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.model.CellId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores the claims of the cells for which this controller is a voter.
 *
 * <p>Claims are recorded under a term number. The voters of a new term seal the earlier terms and
 * merge their claims before recording any. If a majority of an earlier term's voters is lost, the
 * new voters answer UNKNOWN until the retention time of every lost claim has passed.
 */
public final class ClaimReducer implements Reducer<ClaimEvent, ClaimEffect> {
  private final ClaimVoter self;
  private final Map<CellId, ClaimStore> stores = new HashMap<>();

  private ClaimReducer(ClaimVoter self) {
    this.self = self;
  }

  /** Returns a reducer for a controller that is not yet a voter of any cell. */
  public static ClaimReducer create(ClaimVoter self) {
    return new ClaimReducer(self);
  }

  @Override
  public List<ClaimEffect> reduce(ClaimEvent event) {
    List<ClaimEffect> effects = new ArrayList<>();
    if (event instanceof ClaimEvent.Tick tick) {
      stores.values().forEach(store -> store.tick(tick.atMillis(), effects));
    } else if (event instanceof ClaimEvent.RowLearned learned) {
      store(learned.cell()).learnTerm(learned, effects);
    } else if (event instanceof ClaimEvent.Received received) {
      store(received.message().cell()).receive(received, effects);
    }
    return effects;
  }

  /** Returns the number of claims stored for a cell. */
  public int size(CellId cell) {
    return store(cell).size();
  }

  private ClaimStore store(CellId cell) {
    return stores.computeIfAbsent(cell, absent -> new ClaimStore(absent, self));
  }
}
