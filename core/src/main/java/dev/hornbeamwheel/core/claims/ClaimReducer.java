package dev.hornbeamwheel.core.claims;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.model.CellId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the claims of the cells that this controller is a voter of.
 *
 * <p>Claims are recorded under a term number. A new term number's voters seal the earlier ones and
 * take their claims over before they record any; where a majority of an earlier number's voters is
 * gone, they answer UNKNOWN until every lost claim has outlived its retention time.
 */
public final class ClaimReducer implements Reducer<ClaimEvent, ClaimEffect> {
  private final ClaimVoter self;
  private final Map<CellId, ClaimStore> stores = new HashMap<>();

  private ClaimReducer(ClaimVoter self) {
    this.self = self;
  }

  /** Returns a reducer of a controller that is a voter of no cell yet. */
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

  /** Returns the number of claims that are remembered for a cell. */
  public int size(CellId cell) {
    return store(cell).size();
  }

  private ClaimStore store(CellId cell) {
    return stores.computeIfAbsent(cell, absent -> new ClaimStore(absent, self));
  }
}
